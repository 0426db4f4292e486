package upstream

import (
	"errors"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// keepAlive returns the timeout parameter of a Keep-Alive header field, or 0 if there is
// none.
func keepAlive(field string) time.Duration {
	for _, part := range strings.Split(field, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// silent reports whether an idle connection is reusable: the peer has neither sent data nor
// closed it.
func silent(conn *connection) bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
