package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sliplift/sliplift/internal/httpresponse"
)

// exchange writes a call and reads the head of its answer.
func (c *Client) exchange(conn *connection, call *Call, release func() bool) (*Answer, *Error) {
	if !c.config.RepeatIDs {
		conn.carried.add(call.ID)
	}
	head := c.head(call)
	written, err := send(conn, head, call.Body)
	if err != nil {
		// A failed write may still have delivered the complete request.
		return nil, &Error{Fate: Unknown, Cause: err}
	}
	for surplus := 0; ; surplus++ {
		response, err := readHead(conn, call.Method)
		if err != nil {
			return nil, &Error{Fate: Unknown, Cause: err}
		}
		c.noteHeard(conn.peer)
		meta := c.config.Codec.Decode(response.StatusCode, response.Header)
		if c.belongs(conn, call, meta, response.StatusCode, surplus) {
			return c.answer(conn, call, response, meta, surplus > 0, written, release)
		}
		conn.meter.allow(surplusBytes + readBuffer)
		if surplus >= maxSurplus || discard(response.Body) != nil || response.Close {
			return nil, &Error{Fate: Unknown, Cause: ErrSurplus}
		}
	}
}

// belongs reports whether an answer is that of the call. One without an id is accepted only
// if its status is no success and it is the first on its connection, where no other request
// was sent.
func (c *Client) belongs(conn *connection, call *Call, meta Meta, status, surplus int) bool {
	if meta.ID != "" {
		return meta.ID == call.ID
	}
	if call.Unnumbered {
		return true
	}
	return status >= http.StatusMultipleChoices && !conn.used && surplus == 0
}

// answer returns the Answer of a response, or a NotRun error if the response refuses the
// call. The connection of a refusal is kept if it is reusable. sawSurplus means that surplus
// answers came before.
func (c *Client) answer(
	conn *connection, call *Call, response *http.Response, meta Meta, sawSurplus bool,
	written *upload, release func() bool,
) (*Answer, *Error) {
	conn.meter.allow(c.config.MaxAnswer)
	if meta.NotRun || meta.WrongInstance {
		failure := &Error{Fate: NotRun, Cause: errNotRun, Status: response.StatusCode}
		if discard(response.Body) == nil && !sawSurplus && written.complete() && release() {
			c.recycle(conn, response)
			failure.kept = true
		}
		return nil, failure
	}
	if response.Body != http.NoBody && response.ContentLength > int64(c.config.MaxAnswer) {
		return nil, &Error{Fate: Unknown, Cause: ErrTooLong}
	}
	body := &answerBody{
		client: c, conn: conn, response: response, sawSurplus: sawSurplus, written: written,
		release: release,
	}
	return &Answer{
		Meta:   meta,
		Status: response.StatusCode,
		Header: response.Header,
		Length: response.ContentLength,
		Body:   body,

		EndsWithConnection: httpresponse.EndsWithConnection(response),
	}, nil
}

// head encodes the request line and header of a call.
func (c *Client) head(call *Call) []byte {
	var buffer bytes.Buffer
	header := c.config.Codec.Encode(call, time.Now())
	buffer.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if len(call.Body) > 0 || bodyExpected(call.Method) {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	_ = header.Write(&buffer)
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

// bodyExpected reports whether a request with the method states its Content-Length even if
// its body is empty (RFC 9110, section 8.6).
func bodyExpected(method string) bool {
	return method != http.MethodGet && method != http.MethodHead && method != http.MethodDelete
}

// send writes a request. A body longer than inlineBody is written in the background, since
// the answer may come before the body was read; otherwise the upload is nil.
func send(conn net.Conn, head, body []byte) (*upload, error) {
	if len(body) <= inlineBody {
		_, err := conn.Write(append(head, body...))
		return nil, err
	}
	if _, err := conn.Write(head); err != nil {
		return nil, err
	}
	return startUpload(conn, body), nil
}

// discard reads a body to its end, or fails if it exceeds surplusBytes.
func discard(body io.Reader) error {
	read, err := io.Copy(io.Discard, io.LimitReader(body, surplusBytes+1))
	if err == nil && read > surplusBytes {
		return ErrTooLong
	}
	return err
}
