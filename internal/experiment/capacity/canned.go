package capacity

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs/v2"
)

// ErrStandIn tags faults of the canned engine and its bare client.
const ErrStandIn = errs.Tag("capacity: canned engine")

// frameTokens and frameText are what one frame of the canned engine carries.
const (
	frameTokens = 4
	frameText   = "lorem ipsum dolor sit. "
)

// cannedEngine answers over HTTP/1.1 with prepared bytes, at as little cost as
// may be, so that a benchmark of a client measures little else.
type cannedEngine struct {
	listener net.Listener
	running  sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// frames is how many a generated stream has, interval the time between them.
	frames   int
	interval time.Duration
}

func newCannedEngine() (*cannedEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrSetup.Wrap(err)
	}
	e := &cannedEngine{listener: listener, conns: map[net.Conn]struct{}{}, frames: 1}
	e.running.Go(e.accept)
	return e, nil
}

func (e *cannedEngine) address() string { return e.listener.Addr().String() }

func (e *cannedEngine) setStream(frames int, interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frames, e.interval = frames, interval
}

func (e *cannedEngine) stream() (frames int, interval time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.frames, e.interval
}

func (e *cannedEngine) close() error {
	err := e.listener.Close()
	e.mu.Lock()
	for conn := range e.conns {
		conn.Close()
	}
	e.mu.Unlock()
	e.running.Wait()
	return errs.Wrap(err)
}

func (e *cannedEngine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = struct{}{}
		e.mu.Unlock()
		e.running.Go(func() { e.serve(conn) })
	}
}

// serve answers the requests of one connection until it ends.
func (e *cannedEngine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		path, body, err := readRequest(reader)
		if err != nil {
			return
		}
		parts, interval := e.answer(path, body)
		for i, part := range parts {
			if i > 0 && interval > 0 {
				time.Sleep(interval)
			}
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	}
}

// readRequest reads a request's path and body and nothing else of it.
func readRequest(reader *bufio.Reader) (path string, body []byte, err error) {
	length := 0
	for first := true; ; first = false {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return "", nil, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch value, isLength := bytes.CutPrefix(line, []byte("Content-Length: ")); {
		case first:
			_, rest, _ := strings.Cut(string(line), " ")
			path, _, _ = strings.Cut(rest, " ")
		case isLength:
			if length, err = strconv.Atoi(string(value)); err != nil {
				return "", nil, err
			}
		case len(line) == 0:
			body = make([]byte, length)
			_, err := io.ReadFull(reader, body)
			return path, body, err
		}
	}
}

// answer returns the parts of an answer, each of which is one write, and the
// time between them.
func (e *cannedEngine) answer(path string, body []byte) ([][]byte, time.Duration) {
	if path != "/v1/generate" {
		return [][]byte{cannedReport()}, 0
	}
	frames, interval := e.stream()
	parts := streamParts(frames, textField(body, "request_id"), numberField(body, "attempt"))
	if interval > 0 {
		return parts, interval
	}
	return [][]byte{bytes.Join(parts, nil)}, 0
}

// cannedReport is a load report of the usual size.
func cannedReport() []byte {
	body := fmt.Sprintf(`{"backend":"sampler-0001","as_of_unix_ms":%d,"running":31,"waiting":2,"capacity":1048576,"version":1201,"role":"serving","cache_used":2211,"cache_size":4096,"order_epoch":17}`+"\n", time.Now().UnixMilli())
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Mon, 01 Jan 2024 00:00:00 GMT\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// streamParts returns the head and the frames of a stream.
func streamParts(frames int, requestID, attempt string) [][]byte {
	parts := [][]byte{[]byte("HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n")}
	for i := range frames - 1 {
		parts = append(parts, chunk(fmt.Sprintf(`{"request_id":%q,"attempt":%s,"sequence":%d,"version":7,"tokens":%d,"text":%q}`+"\n",
			requestID, attempt, i, frameTokens, frameText)))
	}
	checksum := xxhash.Sum64String(strings.Repeat(frameText, frames))
	last := chunk(fmt.Sprintf(`{"request_id":%q,"attempt":%s,"sequence":%d,"version":7,"tokens":%d,"text":%q,"done":true,"total_tokens":%d,"checksum":"%016x","finish_reason":"stop"}`+"\n",
		requestID, attempt, frames-1, frameTokens, frameText, frames*frameTokens, checksum))
	return append(parts, append(last, "0\r\n\r\n"...))
}

func chunk(text string) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text) }

// textField and numberField find a field of a JSON object without decoding it.
func textField(body []byte, name string) string {
	_, rest, _ := bytes.Cut(body, []byte(`"`+name+`":"`))
	value, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(value)
}

func numberField(body []byte, name string) string {
	_, rest, _ := bytes.Cut(body, []byte(`"`+name+`":`))
	return string(rest[:bytes.IndexAny(rest, ",}")])
}

// bareClient sends prepared requests over one connection and reads answers only
// as far as it must to find their ends.
type bareClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newBareClient(ctx context.Context, address string) (*bareClient, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, ErrStandIn.Wrap(err)
	}
	return &bareClient{conn: conn, reader: bufio.NewReaderSize(conn, 16<<10)}, nil
}

func bareRequest(method, path, body string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

// exchange sends the request and reads the answer, which must be of status 200.
func (b *bareClient) exchange(request []byte) error {
	if _, err := b.conn.Write(request); err != nil {
		return ErrStandIn.Wrap(err)
	}
	status, err := b.reader.ReadSlice('\n')
	if err != nil {
		return ErrStandIn.Wrap(err)
	}
	if !bytes.Contains(status, []byte(strconv.Itoa(http.StatusOK))) {
		return ErrStandIn.Errorf("answer %q", status)
	}
	length := -1
	for {
		line, err := b.reader.ReadSlice('\n')
		if err != nil {
			return ErrStandIn.Wrap(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
			length, _ = strconv.Atoi(string(value))
		}
		if len(line) == 0 {
			break
		}
	}
	if length >= 0 {
		_, err = b.reader.Discard(length)
		return ErrStandIn.Wrap(err)
	}
	return b.discardChunks()
}

func (b *bareClient) discardChunks() error {
	for {
		line, err := b.reader.ReadSlice('\n')
		if err != nil {
			return ErrStandIn.Wrap(err)
		}
		size, err := strconv.ParseInt(string(bytes.TrimRight(line, "\r\n")), 16, 64)
		if err != nil {
			return ErrStandIn.Wrap(err)
		}
		if _, err := b.reader.Discard(int(size) + len("\r\n")); err != nil {
			return ErrStandIn.Wrap(err)
		}
		if size == 0 {
			return nil
		}
	}
}
