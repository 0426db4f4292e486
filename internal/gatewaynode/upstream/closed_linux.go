package upstream

import (
	"net"

	"golang.org/x/sys/unix"
)

// closedByPeer reports whether the peer has ended its side of the connection in order and has not
// reset it since. It is false if this is not known.
func closedByPeer(conn net.Conn) bool {
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		info, failed := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = failed == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return closed && err == nil
}
