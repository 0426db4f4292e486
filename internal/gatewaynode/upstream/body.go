package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sliplift/sliplift/internal/httpresponse"
)

// answerBody is the body of an answer. At its end it returns the connection to the pool.
type answerBody struct {
	client   *Client
	conn     *connection
	response *http.Response
	// sawSurplus reports that surplus answers came first, so that the connection cannot be
	// reused.
	sawSurplus bool
	// written is the writing of the request body, see send.
	written *upload
	// release detaches the connection from the context of the call. It reports false if the
	// context is already done, which closes the connection.
	release func() bool
	done    bool
}

// Read implements io.Reader. It never returns io.EOF for a truncated body.
func (b *answerBody) Read(buffer []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	count, err := b.response.Body.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if err := b.checkEnd(); err != nil {
		return count, err
	}
	b.finish()
	return count, io.EOF
}

// checkEnd returns an error if the body has ended and is not whole, or not valid.
func (b *answerBody) checkEnd() error {
	if httpresponse.EndsWithConnection(b.response) {
		return b.written.checkReset(b.conn)
	}
	return httpresponse.ValidateFields(b.response.Trailer)
}

// finish returns the connection to the pool, or closes it if it cannot be reused.
func (b *answerBody) finish() {
	b.done = true
	if !b.release() {
		return
	}
	if b.sawSurplus || !b.written.complete() {
		b.client.drop(b.conn, OpenAborted)
		return
	}
	b.client.recycle(b.conn, b.response)
}

// Drain reads the rest of the body and discards it, so that the connection can be reused. An error
// means that the answer is not complete. It does not close the body.
func (a *Answer) Drain() error {
	_, err := io.Copy(io.Discard, a.Body)
	return err
}

// Content reads the body. It fails with ErrTooLong if the body exceeds a limit in bytes: a part of it
// must not pass for the whole. It does not close the body.
func (a *Answer) Content(limit int) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(a.Body, int64(limit)+1))
	if err == nil && len(content) > limit {
		return nil, ErrTooLong
	}
	return content, err
}

// Linger is how long a caller lets a call continue whose answer is no longer needed. If the
// answer completes in this time, the connection can be reused; otherwise closing it tells
// the backend to stop.
const Linger = 400 * time.Millisecond

// Close ends the call. It closes the connection unless the body was read to its end.
func (b *answerBody) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	b.release()
	b.client.drop(b.conn, OpenAborted)
	return nil
}

// tracedBody reports the reading of a body to a Trace.
type tracedBody struct {
	io.ReadCloser
	// ctx is the context of the call.
	ctx    context.Context
	trace  Trace
	status int
	// told reports whether Trace.End was called.
	told bool
}

// Read implements io.Reader.
func (b *tracedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if count > 0 {
		b.trace.Heard()
	}
	switch {
	case errors.Is(err, io.EOF):
		b.tell(EndComplete)
	case err != nil:
		b.tell(endOf(err, b.ctx.Err() != nil))
	}
	return count, err
}

// Close implements io.Closer.
func (b *tracedBody) Close() error {
	b.tell(EndCancelled)
	return b.ReadCloser.Close()
}

// tell calls Trace.End once.
func (b *tracedBody) tell(end End) {
	if b.told {
		return
	}
	b.told = true
	b.trace.End(end, b.status)
}
