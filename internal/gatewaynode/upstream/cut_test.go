package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// cutServer answers each connection's request with the part of a text that the request asks for, and
// closes the connection or resets it.
type cutServer struct {
	text string
	// reset resets the connection in place of a close.
	reset bool
}

// listen serves until the end of the test and returns the address.
func (s cutServer) listen(t *testing.T) string { return serveTCP(t, s.serve) }

// serve reads a request whole, so that a close ends the connection in order.
func (s cutServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if _, err := io.WriteString(conn, s.text[:len(request.URL.Path)-1]); err != nil {
		return
	}
	if s.reset {
		_ = conn.SetLinger(0)
	}
}

// readCut sends a request to a cutServer and returns the body of its answer if that was whole. cut is
// the number of bytes after which the server stops.
func readCut(ctx context.Context, address string, cut, upload int) (string, error) {
	client := NewClient(Config{Codec: testCodec{}})
	call := &Call{
		ID: "a", Method: http.MethodPost, Target: "/" + strings.Repeat("x", cut), Host: "h", Address: address, Body: make([]byte, upload),
	}
	answer, err := client.Do(ctx, call)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return string(content), err
}

// TestAnswerThatStopsIsNotWhole guards against an answer that stops anywhere in its head, or before
// the end that its head announces, and that callers get as a whole one: net/http takes the rest of a
// line at the end of a connection for the whole line.
func TestAnswerThatStopsIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nServer: x\r\n"
	for _, test := range []struct{ name, text string }{
		{"a length", head + "Content-Length: 10\r\n\r\n0123456789"},
		{"the length 0", head + "Content-Length: 0\r\n\r\n"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"chunks and a trailer", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nField: x\r\n\r\n"},
		{"neither", head + "\r\n"},
		{"bare line feeds", "HTTP/1.1 200 OK\nId: a\nServer: x\n\n"},
		{"an informational answer before", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "\r\n"},
		{"a status without content", "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nId: a\r\n\r\n"},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(test.name+map[bool]string{false: ", closed", true: ", reset"}[reset], func(t *testing.T) {
				t.Parallel()
				address := cutServer{test.text, reset}.listen(t)
				for _, upload := range []int{0, 2 * inlineBody} {
					checkCuts(t, address, test.text, upload)
				}
			})
		}
	}
}

// checkCuts checks that no part of a text is a whole answer.
func checkCuts(t *testing.T, address, text string, upload int) {
	var calls sync.WaitGroup
	for cut := range len(text) {
		calls.Go(func() {
			if content, err := readCut(t.Context(), address, cut, upload); err == nil {
				t.Errorf("an upload of %d bytes, an answer that stops after %q: taken as whole, with the body %q", upload, text[:cut], content)
			}
		})
	}
	calls.Wait()
}

// TestAnswerWithoutALengthEndsWithItsConnection checks both sides of what tells the end of an answer
// without a length: it is whole if its connection ends in order, and not if that is reset.
func TestAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	for _, body := range []string{"", "body"} {
		text := "HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + body
		for _, upload := range []int{0, 2 * inlineBody} {
			content, err := readCut(t.Context(), cutServer{text: text}.listen(t), len(text), upload)
			if err != nil || content != body {
				t.Errorf("body %q, upload of %d bytes, closed: got %q, %v", body, upload, content, err)
			}
			content, err = readCut(t.Context(), cutServer{text: text, reset: true}.listen(t), len(text), upload)
			if err == nil {
				t.Errorf("body %q, upload of %d bytes, reset: %q was taken as whole", body, upload, content)
			}
		}
	}
}
