package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// idleConnections are the kept connections on which no request is under way.
type idleConnections struct {
	mu  sync.Mutex
	set map[net.Conn]struct{}
}

func newIdleConnections() *idleConnections {
	return &idleConnections{set: map[net.Conn]struct{}{}}
}

// track is http.Server.ConnState.
func (c *idleConnections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.set[conn] = struct{}{}
		return
	}
	delete(c.set, conn)
}

func (c *idleConnections) list() []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []net.Conn
	for conn := range c.set {
		all = append(all, conn)
	}
	return all
}

// farewellTimeout bounds the writing of one farewell.
const farewellTimeout = 50 * time.Millisecond

// sayFarewell tells the callers behind idle connections that these are about to
// close, by the unasked answer that RFC 9110, section 15.5.9, has for it. A
// caller whose request is on its way just then takes it as the answer to this
// request, and it says truly that nothing was run; without it such a request
// would break off with its fate unknown. Others drop the connection.
func (s *Server) sayFarewell() {
	message := farewell(s.stoppingError())
	var writes sync.WaitGroup
	for _, conn := range s.idle.list() {
		writes.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(farewellTimeout))
			_, _ = conn.Write(message)
			_ = conn.SetWriteDeadline(time.Time{})
		})
	}
	writes.Wait()
}

// farewell returns the answer as it stands on the wire.
func farewell(refusal *api.Error) []byte {
	body, err := json.Marshal(refusal)
	if err != nil {
		panic("gateway: a refusal must encode: " + err.Error())
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Retry-After", strconv.FormatInt(max(1, refusal.RetryAfterMS/time.Second.Milliseconds()), 10))
	response := http.Response{
		StatusCode:    http.StatusRequestTimeout,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
		Close:         true,
	}
	var message bytes.Buffer
	_ = response.Write(&message)
	return message.Bytes()
}
