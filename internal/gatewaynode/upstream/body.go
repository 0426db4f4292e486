package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// answerBody reads the body and, at its end, gives the connection back.
type answerBody struct {
	client   *Client
	conn     *connection
	response *http.Response
	tainted  bool
	written  <-chan error
	release  func() bool
	done     bool
}

// Read implements io.Reader. The end of a body that was cut is never io.EOF.
func (b *answerBody) Read(buffer []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	count, err := b.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.finish()
		return count, io.EOF
	}
	return count, err
}

func (b *answerBody) finish() {
	b.done = true
	if !b.release() {
		return
	}
	if b.tainted || !finished(b.written) {
		b.client.drop(b.conn, OpenCut)
		return
	}
	b.client.park(b.conn, b.response)
}

// drainMost bounds the body of a failure that is read to keep its connection, in bytes.
const drainMost = 64 << 10

// Drain reads what is left of a short body, so that the connection can be kept.
func (a *Answer) Drain() {
	if a.Length <= drainMost {
		_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, drainMost))
	}
}

// Linger is how long a call whose answer is no longer needed may go on: its connection is
// kept if the answer comes by then, and the back end learns soon enough otherwise.
const Linger = 400 * time.Millisecond

// Close ends the call. A body that was not read whole ends its connection.
func (b *answerBody) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	b.release()
	b.client.drop(b.conn, OpenCut)
	return nil
}

// tracedBody tells how the reading of a body ended.
type tracedBody struct {
	io.ReadCloser
	// ctx is that of the call.
	ctx    context.Context
	trace  Trace
	status int
	told   bool
}

// Read implements io.Reader.
func (b *tracedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if count > 0 {
		b.trace.Heard()
	}
	switch {
	case errors.Is(err, io.EOF):
		b.tell(EndWhole)
	case err != nil:
		b.tell(endOf(err, b.ctx.Err() != nil))
	}
	return count, err
}

// Close implements io.Closer.
func (b *tracedBody) Close() error {
	b.tell(EndGivenUp)
	return b.ReadCloser.Close()
}

func (b *tracedBody) tell(end End) {
	if b.told {
		return
	}
	b.told = true
	b.trace.End(end, b.status)
}
