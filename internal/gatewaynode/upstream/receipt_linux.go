package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// acknowledged reports whether the peer's system has acknowledged all bytes written to conn
// (SIOCOUTQ, tcp(7)), and whether that is known. The peer may have closed the connection.
func acknowledged(conn syscall.Conn) (all, known bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		// The connection is closed.
		return false, false
	}
	err = raw.Control(func(descriptor uintptr) {
		waiting, failed := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
		all, known = waiting == 0, failed == nil
	})
	return all, known && err == nil
}
