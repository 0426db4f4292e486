package upstream

import (
	"errors"
	"io"
	"syscall"
)

// Observer observes the calls that backends may run. Implementations must be safe for
// concurrent use.
type Observer interface {
	// Begin is called immediately before a call is sent. cut cancels the call and may be
	// called at any time, also after its end.
	Begin(call *Call, cut func()) Trace
}

// Trace observes one call. End is called exactly once, after all calls of Heard.
type Trace interface {
	// Heard is called whenever a part of the answer is received.
	Heard()
	// End is called with how the call ended and the status of its answer, or 0 if there is
	// none.
	End(end End, status int)
}

// End is how a call that was sent ended.
type End int

const (
	// EndComplete means that the complete answer was received.
	EndComplete End = iota
	// EndNotRun means that the backend stated that it did not run the call.
	EndNotRun
	// EndLost means that the other side ended the connection before the answer was complete.
	EndLost
	// EndCancelled means that this node cancelled the call before the answer was complete.
	EndCancelled
	// EndMalformed means that the received bytes are no valid answer.
	EndMalformed
)

// lost reports whether err means that the other side ended the connection.
func lost(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// endOf returns the End of a call that failed with err; ended reports whether this node
// cancelled it.
func endOf(err error, ended bool) End {
	switch {
	case ended:
		return EndCancelled
	case lost(err):
		return EndLost
	}
	return EndMalformed
}

// untraced is the Trace of calls that are not observed.
type untraced struct{}

func (untraced) Heard()       {}
func (untraced) End(End, int) {}

// begin reports a call that is about to be sent to the Observer, if there is one.
func (c *Client) begin(call *Call, conn *connection) Trace {
	if c.config.Observer == nil || call.Work.IsZero() {
		return untraced{}
	}
	return c.config.Observer.Begin(call, func() {
		conn.cut.Store(true)
		c.drop(conn, OpenAborted)
	})
}
