package upstream

import (
	"net"
	"runtime"
	"syscall"
	"time"
)

// The kernel transmits the send buffer of a socket even after the socket is closed, after
// the process has exited, and while the process is stopped. Once a stalled link recovers, a
// call could therefore arrive long after its caller gave it up. Two socket options prevent
// this for a call with Call.Until, and are set before its first byte is written:
//
//   - SO_LINGER 0: closing the socket, explicitly or by the exit of the process, discards
//     the send buffer and resets the connection.
//   - TCP_USER_TIMEOUT: the kernel aborts the connection once data stays unacknowledged for
//     the time that the call has left, even if the process cannot close it.

// userTimeout is TCP_USER_TIMEOUT of Linux (tcp(7)), in milliseconds, which package syscall
// does not define.
const userTimeout = 0x12

const (
	// lingerNever makes Close discard the send buffer.
	lingerNever = 0
	// lingerDefault makes Close transmit the send buffer in the background.
	lingerDefault = -1
)

// expire limits how long the socket of a connection may hold unsent bytes; a zero time sets
// no limit.
func expire(conn *connection, until time.Time) error {
	socket, ok := conn.Conn.(*net.TCPConn)
	if until.IsZero() || !ok {
		return nil
	}
	conn.expires = true
	if err := socket.SetLinger(lingerNever); err != nil {
		return err
	}
	return setUserTimeout(socket, max(time.Until(until), time.Millisecond))
}

// expireNever reverts expire.
func expireNever(conn *connection) error {
	socket, ok := conn.Conn.(*net.TCPConn)
	if !conn.expires || !ok {
		return nil
	}
	conn.expires = false
	if err := socket.SetLinger(lingerDefault); err != nil {
		return err
	}
	return setUserTimeout(socket, 0)
}

// setUserTimeout limits how long sent data may stay unacknowledged; 0 restores the system's
// default. It does nothing on systems other than Linux.
func setUserTimeout(socket *net.TCPConn, limit time.Duration) error {
	if runtime.GOOS != "linux" {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, userTimeout, int(limit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
