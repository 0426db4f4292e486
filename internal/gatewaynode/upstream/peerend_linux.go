package upstream

import (
	"net"

	"golang.org/x/sys/unix"
)

// endOfPeer returns how the peer has ended a connection, as the system knows at this moment.
func endOfPeer(conn net.Conn) peerEnd {
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return peerEndUnknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return peerEndUnknown
	}
	end := peerEndUnknown
	err = raw.Control(func(descriptor uintptr) {
		info, failed := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case failed != nil:
		case info.State == unix.BPF_TCP_CLOSE_WAIT:
			end = peerEndInOrder
		case info.State == unix.BPF_TCP_CLOSE:
			end = peerEndReset
		}
	})
	if err != nil {
		return peerEndUnknown
	}
	return end
}
