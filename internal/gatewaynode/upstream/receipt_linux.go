package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// acknowledged tells whether the other side's system has acknowledged all bytes that were
// written to a connection (tcp(7), SIOCOUTQ), also where it has ended the connection since, and
// whether that is known.
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
