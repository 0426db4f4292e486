package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	// firstEventAfter is how long a run takes to its first event, failAfter how long one takes
	// that fails.
	firstEventAfter = 20 * time.Millisecond
	failAfter       = 400 * time.Millisecond
)

// grey is a sampler that speaks HTTP by itself, since it sends more than an answer: the first
// item that comes is answered with 500 at its first and third run. A copy of the first of these
// answers comes late, in the place of the next answer of its connection, which follows it.
type grey struct {
	sampler
	trouble bool

	victim string
	runs   int
	// late is the connection that a copy of the first answer is still to be sent on.
	late net.Conn
}

func runGrey(arguments []string) int {
	flags := flag.NewFlagSet("grey", flag.ContinueOnError)
	g := &grey{sampler: sampler{version: 1, service: "pool", model: "model", slots: 12, gap: 40 * time.Millisecond}}
	flags.StringVar(&g.id, "id", "", "incarnation")
	flags.StringVar(&g.address, "address", "", "IP:port")
	flags.BoolVar(&g.trouble, "trouble", true, "answer with 500 and send a surplus answer")
	store := flags.String("store", "", "IP:port of the store")
	record := flags.String("record", "", "file that runs are appended to")
	if flags.Parse(arguments) != nil {
		return exitFailed
	}
	file, err := os.OpenFile(*record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return exitFailed
	}
	g.record = json.NewEncoder(file)
	listener, err := net.Listen("tcp", g.address)
	if err != nil {
		return exitFailed
	}
	go g.beat(*store)
	for {
		connection, err := listener.Accept()
		if err != nil {
			return exitFailed
		}
		go g.serve(connection)
	}
}

// serve answers the requests of a connection, one after the other.
func (g *grey) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if want := request.Header.Get("Expect-Instance"); want != "" && want != g.id {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", g.id)
			continue
		}
		if request.URL.Path == "/v1/report" {
			report := fmt.Sprintf(`{"stage":"hybrid","models":[{"name":%q,"version":1}],"busySlots":false,"seq":0,"numRunning":0}`, g.model)
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
			continue
		}
		if !g.answer(connection, request) {
			return
		}
	}
}

// failing counts the runs of the item that came first, and tells whether this one is answered
// with 500 and which it is.
func (g *grey) failing(id string) (fails bool, number int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.victim == "" {
		g.victim = id
	}
	if !g.trouble || id != g.victim {
		return false, 0
	}
	g.runs++
	return g.runs == 1 || g.runs == 3, g.runs
}

// answer answers a request for tokens, and tells whether the connection is kept.
func (g *grey) answer(connection net.Conn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	if _, free := g.begin(); !free {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	defer g.end()
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	fails, number := g.failing(id)
	g.note("begin", id, after, after)
	if fails {
		time.Sleep(failAfter)
		if number == 1 {
			g.keepLate(connection)
		}
		g.note("answers 500", id, after, after)
		return g.fail(connection, id, number) == nil
	}
	time.Sleep(firstEventAfter)
	if g.takeLate(connection) {
		g.note("late copy of the first answer", id, after, after)
		if g.fail(connection, id, 1) != nil {
			return false
		}
	}
	return g.stream(connection, id, after, eventsOf(request.URL.Path))
}

// keepLate notes that a copy of the first answer is still to be sent on a connection.
func (g *grey) keepLate(connection net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.late = connection
}

// takeLate tells whether the copy is to be sent on a connection now, once.
func (g *grey) takeLate(connection net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.late != connection {
		return false
	}
	g.late = nil
	return true
}

// fail answers with 500.
func (g *grey) fail(connection net.Conn, id string, number int) error {
	_, err := fmt.Fprintf(connection, "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s-%s-%d\r\nContent-Length: 6\r\n\r\nfailed", id, g.id, id, number)
	return err
}

// stream sends the events of a run.
func (g *grey) stream(connection net.Conn, id string, after, events int) bool {
	made := after
	defer func() { g.note("end", id, after, made) }()
	_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: stamp-%s-%s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, g.id, id)
	for err == nil && made < events {
		time.Sleep(g.gap)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", made+1, eventData(id, made+1))
		if _, err = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event); err == nil {
			made++
		}
	}
	if err == nil {
		_, err = io.WriteString(connection, "0\r\n\r\n")
	}
	return err == nil
}
