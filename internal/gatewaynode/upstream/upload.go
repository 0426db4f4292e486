package upstream

import (
	"io"
	"net"
)

// upload is the writing of a request body beside the reading of the answer.
type upload struct {
	done chan struct{}
	// err is the error of the write. It is valid once done is closed.
	err error
}

// startUpload writes a body in the background.
func startUpload(conn net.Conn, body []byte) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		_, u.err = conn.Write(body)
	}()
	return u
}

// complete reports whether the body was written without an error. A nil upload was complete before
// the answer was read.
func (u *upload) complete() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// checkReset returns io.ErrUnexpectedEOF if a connection whose reader was told of an ordinary end was
// reset: the system reports a reset once, and the upload may be what was told. Unless the peer is
// known to have ended its side in order, the result of the upload decides, which ends with the
// connection at the latest.
func (u *upload) checkReset(conn net.Conn) error {
	if u == nil || closedByPeer(conn) {
		return nil
	}
	<-u.done
	if u.err != nil {
		return io.ErrUnexpectedEOF
	}
	return nil
}
