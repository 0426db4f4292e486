package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// acknowledged tells whether the other side's system has acknowledged all bytes that were
// written to a connection (tcp(7), SIOCOUTQ), also where it has ended the connection since. It
// is false where that is not known.
func acknowledged(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		// The connection is closed.
		return false
	}
	all := false
	err = raw.Control(func(descriptor uintptr) {
		waiting, failed := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
		all = failed == nil && waiting == 0
	})
	return err == nil && all
}
