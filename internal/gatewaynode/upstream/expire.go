package upstream

import (
	"net"
	"runtime"
	"syscall"
	"time"
)

// The system sends what a socket holds also after the socket was closed, after the
// process ended and while the process stands still: over a link that was silent a call
// may so arrive long after its caller gave it up. A call with an end of its own is
// bounded in the socket itself, before its first byte is written:
//
//   - Closing the socket, by the caller or by the end of the process, drops what it
//     holds and resets the connection.
//   - The system gives the connection up once bytes have gone unacknowledged for the
//     time that the call has left, also if nobody is there to close it.

// userTimeout is the option of Linux's TCP for how long bytes may go unacknowledged, in
// milliseconds (tcp(7), TCP_USER_TIMEOUT); package syscall does not name it.
const userTimeout = 0x12

// Ways to close a socket, as SetLinger takes them: at once, or with its bytes sent in
// the background.
const (
	lingerNever   = 0
	lingerDefault = -1
)

// expire bounds what the socket of a connection holds by a time; zero sets no bound.
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

// expireNever takes the bound off a connection again.
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

// setUserTimeout sets for how long bytes may go unacknowledged, 0 for the system's own
// time. Other systems than Linux have closing alone.
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
