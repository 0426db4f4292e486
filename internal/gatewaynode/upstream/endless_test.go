package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// endlessServer answers each request with a beginning, and then with a piece again and again
// until the connection is closed.
type endlessServer struct {
	beginning, piece string
	// gap is the pause between pieces.
	gap time.Duration
	// taken is the number of bytes that were read from it.
	taken atomic.Int64
	// closed is set once the connection was closed by the other side.
	closed atomic.Bool
}

func (s *endlessServer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *endlessServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	for text := s.beginning; ; text = s.piece {
		n, err := io.WriteString(conn, text)
		s.taken.Add(int64(n))
		if err != nil {
			s.closed.Store(true)
			return
		}
		time.Sleep(s.gap)
	}
}

// endlessAnswers are the ways in which an answer may never end. In the head, they must not take
// more than maxHeadBytes; in the body, not more than the client's MaxAnswer.
var endlessAnswers = []struct {
	name, beginning, piece string
	head                   bool
}{
	{"a head without a line feed", "HTTP/1.1 200 OK", strings.Repeat("x", 1000), true},
	{"bytes that are no head", "", "\x00\xff\x80", true},
	{"header fields", "HTTP/1.1 200 OK\r\nId: a\r\n", "Field: value\r\n", true},
	{"a header field", "HTTP/1.1 200 OK\r\nId: a\r\nField: ", "value", true},
	{"informational answers", "", "HTTP/1.1 102 Processing\r\n\r\n", true},
	{"a body that the connection ends", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", strings.Repeat("x", 1000), false},
	{"chunks", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", false},
	{"a chunk extension", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4;", "extension", false},
	{"trailers", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n", false},
	{"the body of a surplus answer", "HTTP/1.1 200 OK\r\nId: another\r\n\r\n", strings.Repeat("x", 1000), false},
	{"surplus answers", "", "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 0\r\n\r\n", false},
	{"a body of a refusal", "HTTP/1.1 503 Service Unavailable\r\nId: a\r\nRefused: 1\r\n\r\n", strings.Repeat("x", 1000), false},
}

// readCall makes a call and reads its whole answer.
func readCall(ctx context.Context, client *Client) (int64, error) {
	answer, err := client.Do(ctx, &Call{ID: "a", Method: http.MethodPost, Target: "/", Host: "h", Address: "b:1"})
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	return io.Copy(io.Discard, answer.Body)
}

// TestEndlessAnswerIsBroken guards against answers that never end, as fast as they are read: they
// took the node's memory, and were passed on to callers until long after their deadline.
func TestEndlessAnswerIsBroken(t *testing.T) {
	const maxAnswer = 2 << 20
	for _, test := range endlessAnswers {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &endlessServer{beginning: test.beginning, piece: test.piece}
				client := NewClient(Config{Codec: testCodec{}, Dialer: server.dial, MaxAnswer: maxAnswer})
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				if _, err := readCall(ctx, client); err == nil || errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("the call ended with %v", err)
				}
				synctest.Wait()
				limit := int64(maxAnswer)
				if test.head {
					limit = maxHeadBytes
				}
				if taken := server.taken.Load(); taken > limit+readBuffer {
					t.Errorf("%d bytes were read, want %d at most", taken, limit)
				}
				if !server.closed.Load() {
					t.Error("the connection is still open")
				}
			})
		})
	}
}

// TestTricklingAnswerEndsWithItsCall checks that an answer of one byte a second, which stays below
// every bound, ends with its call, and with it the goroutines and the connection.
func TestTricklingAnswerEndsWithItsCall(t *testing.T) {
	for _, test := range endlessAnswers {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &endlessServer{beginning: test.beginning, piece: test.piece[:1], gap: time.Second}
				client := NewClient(Config{Codec: testCodec{}, Dialer: server.dial})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				began := time.Now()
				if _, err := readCall(ctx, client); err == nil {
					t.Error("the call succeeded")
				}
				if took := time.Since(began); took > 10*time.Second {
					t.Errorf("the call took %v, want 10s at most", took)
				}
				time.Sleep(2 * time.Second)
				if !server.closed.Load() {
					t.Error("the connection is still open")
				}
			})
		})
	}
}

// TestLongAnswerIsRefusedByItsLength checks that an answer that says itself that it is too long is
// not read, and that one without a body, whose length is that of another, is none of these.
func TestLongAnswerIsRefusedByItsLength(t *testing.T) {
	for _, test := range []struct {
		method string
		want   error
	}{{http.MethodGet, ErrTooLong}, {http.MethodHead, nil}} {
		t.Run(test.method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &endlessServer{beginning: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1000000000\r\n\r\n", gap: time.Hour}
				client := NewClient(Config{Codec: testCodec{}, Dialer: server.dial})
				answer, err := client.Do(t.Context(), &Call{ID: "a", Method: test.method, Target: "/", Host: "h", Address: "b:1"})
				if !errors.Is(err, test.want) {
					t.Errorf("the call ended with %v, want %v", err, test.want)
				}
				if err == nil {
					_, _ = io.Copy(io.Discard, answer.Body)
				}
				client.Sweep(func(string, string) bool { return false })
				time.Sleep(time.Hour)
			})
		})
	}
}
