package upstream

import (
	"io"
	"net"
	"time"
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

// peerEnd is how the peer has ended a connection.
type peerEnd int

const (
	// peerEndUnknown means that the peer has not ended the connection, or that this is not known.
	peerEndUnknown peerEnd = iota
	// peerEndInOrder means that the peer has ended its side in order.
	peerEndInOrder
	// peerEndReset means that the peer has reset the connection.
	peerEndReset
)

const (
	// minResetWait is the least time to wait for a reset after the end of an answer: a busy peer
	// may be slow to close what it has ended.
	minResetWait = 100 * time.Millisecond
	// resetRoundTrips is the time to wait in round trips: a byte of the upload has to reach the
	// peer, and the reset has to come back.
	resetRoundTrips = 2
	resetPoll       = 5 * time.Millisecond
)

// checkReset returns io.ErrUnexpectedEOF if a connection whose reader was told of an ordinary end was
// reset. It is called for an answer that only the end of its connection ends.
//
// The system reports a reset once, and the upload may be what was told. And a peer that ends during
// the upload, as a process that is killed, may end its side in order first: the reset follows
// when the next bytes of the upload reach it. A peer that goes on reading, or keeps the connection
// without reading, has ended its answer in order.
func (u *upload) checkReset(conn *connection) error {
	if u == nil {
		return nil
	}
	until := time.Now().Add(max(minResetWait, resetRoundTrips*conn.roundTrip))
	end := endOfPeer(conn.Conn)
	for end == peerEndInOrder && time.Now().Before(until) {
		time.Sleep(resetPoll)
		end = endOfPeer(conn.Conn)
	}
	switch end {
	case peerEndInOrder:
		return nil
	case peerEndReset:
		return io.ErrUnexpectedEOF
	}
	// The result of the upload decides, which ends with the connection at the latest.
	<-u.done
	if u.err != nil {
		return io.ErrUnexpectedEOF
	}
	return nil
}
