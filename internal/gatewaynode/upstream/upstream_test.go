package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// testCodec is a Codec with the header fields Id and Refused.
type testCodec struct{}

func (testCodec) Encode(call *Call, _ time.Time) http.Header {
	header := make(http.Header)
	header.Set("Id", call.ID)
	return header
}

func (testCodec) Decode(status int, header http.Header) Meta {
	return Meta{ID: header.Get("Id"), NotRun: header.Get("Refused") != "", WrongInstance: status == http.StatusMisdirectedRequest}
}

// scriptedServer answers each request with the next of answers. The suffixes "|close" and
// "|reset" close or reset the connection after the answer.
type scriptedServer struct {
	listener net.Listener
	answers  chan string
}

func newScriptedServer(t *testing.T) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &scriptedServer{listener: listener, answers: make(chan string, 16)}
	t.Cleanup(func() { _ = listener.Close() })
	go server.accept()
	return server
}

func (s *scriptedServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.answer(conn)
	}
}

func (s *scriptedServer) answer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		script := <-s.answers
		text, end, _ := strings.Cut(script, "|")
		_, _ = io.WriteString(conn, text)
		switch end {
		case "close":
			return
		case "reset":
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

// TestFates checks the fate of calls against answers given as bytes. Commands:
//
//	answer   the bytes of the next answer, in which LF is sent as CR LF; "|close" and
//	         "|reset" end the connection
//	call ID  sends a call and prints its fate and answer, the number of connections
//	         opened for it and the number of idle ones
func TestFates(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		server := newScriptedServer(t)
		dials := 0
		client := NewClient(Config{Codec: testCodec{}, OnOpen: func(Opening) { dials++ }})
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "answer":
				server.answers <- strings.ReplaceAll(data.Input, "\n", "\r\n")
				return ""
			case "call":
				dials = 0
				outcome := callOnce(client, server.listener.Addr().String(), data.CmdArgs[0].Key)
				return fmt.Sprintf("%s\ndials %d, kept %d\n", outcome, dials, client.Idle())
			}
			t.Fatalf("unknown command %q", data.Cmd)
			return ""
		})
	})
}

// callOnce sends a call and describes its fate and answer.
func callOnce(client *Client, address, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := client.Do(ctx, &Call{ID: id, Method: http.MethodPost, Target: "/x", Host: "h", Address: address})
	if err != nil {
		return "fate " + FateOf(err).String()
	}
	content, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		return fmt.Sprintf("fate answered %d, cut after %d bytes", answer.Status, len(content))
	}
	return fmt.Sprintf("fate answered %d %q", answer.Status, content)
}

func TestNotSentWhereNobodyListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = NewClient(Config{Codec: testCodec{}}).Do(t.Context(), &Call{ID: "a", Method: http.MethodGet, Target: "/", Address: address})
	if FateOf(err) != NotSent {
		t.Fatalf("fate %s, want %s: %v", FateOf(err), NotSent, err)
	}
}

func TestEndOfTheContextEndsTheCall(t *testing.T) {
	server := newScriptedServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := NewClient(Config{Codec: testCodec{}}).Do(ctx, &Call{ID: "a", Method: http.MethodGet, Target: "/", Address: server.listener.Addr().String()})
	server.answers <- "|close"
	if FateOf(err) != Unknown || !errors.Is(err, context.Canceled) {
		t.Fatalf("Do returned %v, want fate unknown caused by context.Canceled", err)
	}
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	server := newScriptedServer(t)
	client := NewClient(Config{Codec: testCodec{}})
	address := server.listener.Addr().String()
	server.answers <- "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n|close"
	if got := callOnce(client, address, "a"); got != `fate answered 200 ""` {
		t.Fatalf("first call: %s", got)
	}
	time.Sleep(50 * time.Millisecond)
	server.answers <- "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\nok"
	if got := callOnce(client, address, "b"); got != `fate answered 200 "ok"` {
		t.Fatalf("second call: %s", got)
	}
}

func TestKeepAliveField(t *testing.T) {
	for field, want := range map[string]time.Duration{
		"timeout=5": 5 * time.Second, "max=3, Timeout=2": 2 * time.Second, "": 0, "timeout=x": 0, "timeout": 0,
	} {
		if got := keepAlive(field); got != want {
			t.Errorf("Keep-Alive %q: timeout %s, want %s", field, got, want)
		}
	}
}
