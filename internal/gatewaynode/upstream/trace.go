package upstream

import (
	"errors"
	"io"
	"syscall"
)

// Witness is told of each call that a back end may run, and how it ended. It is safe for
// concurrent use.
type Witness interface {
	// Begin is told of a call at the moment of sending. cut ends the call at once, also
	// later, without an answer.
	Begin(call *Call, cut func()) Trace
}

// Trace follows one call. Exactly one End comes, after all else.
type Trace interface {
	// Heard tells that a part of the answer came.
	Heard()
	// End tells how the call ended; status is that of the answer, if there was one.
	End(end End, status int)
}

// End is how a call ended that was sent.
type End int

// The ends of calls.
const (
	// EndWhole: the answer came whole.
	EndWhole End = iota
	// EndNotRun: the back end said that it did not run the call.
	EndNotRun
	// EndLost: the connection ended before the answer did, and not by this node.
	EndLost
	// EndGivenUp: this node ended the call before its answer was whole.
	EndGivenUp
	// EndUnusable: bytes came that are not the answer.
	EndUnusable
)

// lost tells whether an error of a connection says that the other side ended it.
func lost(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// endOf returns how a call ended that failed with an error; ended tells that this node
// ended it.
func endOf(err error, ended bool) End {
	switch {
	case ended:
		return EndGivenUp
	case lost(err):
		return EndLost
	}
	return EndUnusable
}

// untraced is the Trace of calls that nobody follows.
type untraced struct{}

func (untraced) Heard()       {}
func (untraced) End(End, int) {}

// begin tells the witness, if there is one, of a call that is about to be sent.
func (c *Client) begin(call *Call, conn *connection) Trace {
	if c.config.Witness == nil || call.Work.IsZero() {
		return untraced{}
	}
	return c.config.Witness.Begin(call, func() {
		conn.cut.Store(true)
		c.drop(conn, OpenCut)
	})
}
