package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// lateServer answers the calls of each connection, in front of each but the first with a late
// copy of the answer before. The copies and the answers count up in their bodies.
type lateServer struct {
	// numbered makes answers carry the id of their call.
	numbered bool
	answered int
}

func (s *lateServer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *lateServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	last := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if _, err := io.WriteString(conn, last); err != nil {
			return
		}
		s.answered++
		last = "HTTP/1.1 500 Internal Server Error\r\n"
		if s.numbered {
			last += "Id: " + request.Header.Get("Id") + "\r\n"
		}
		last += fmt.Sprintf("Content-Length: 1\r\n\r\n%d", s.answered)
		if _, err := io.WriteString(conn, last); err != nil {
			return
		}
	}
}

// TestLateCopyIsNotTakenForTheNextAnswer guards against a late copy of the answer to a call that is
// taken for the answer to a later call with the same id, or without any, on the same connection.
func TestLateCopyIsNotTakenForTheNextAnswer(t *testing.T) {
	for _, test := range []struct {
		name     string
		numbered bool
		ids      string
		// dials is how many connections the calls take.
		dials int
	}{
		{"further runs of an item", true, "a a a", 3},
		{"other calls between", true, "a b a", 2},
		{"commands, which have no id", false, "- - -", 3},
		{"a command after polls, which have no id either", false, "? -", 2},
		{"calls with ids of their own", true, "a b c", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := &lateServer{numbered: test.numbered}
			dials := 0
			client := NewClient(Config{Codec: testCodec{}, Dialer: server.dial, OnOpen: func(Opening) { dials++ }})
			for i, id := range strings.Fields(test.ids) {
				call := &Call{ID: strings.Trim(id, "-?"), Unnumbered: !test.numbered, Poll: id == "?", Method: http.MethodPost, Target: "/", Address: "b:1"}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				answer, err := client.Do(ctx, call)
				if err != nil {
					t.Fatalf("call %d: %v", i+1, err)
				}
				content, _ := io.ReadAll(answer.Body)
				_ = answer.Body.Close()
				cancel()
				if want := fmt.Sprint(i + 1); string(content) != want {
					t.Errorf("call %d got answer %s", i+1, content)
				}
			}
			if dials != test.dials {
				t.Errorf("%d connections, want %d", dials, test.dials)
			}
		})
	}
}
