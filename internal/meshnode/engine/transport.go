package engine

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds the wait for a connection, so that a request tries
	// another back end well before its deadline.
	dialTimeout = time.Second
	// idleTimeout closes connections before back ends usually do, so that a
	// request seldom meets a connection that is just being closed.
	idleTimeout = 30 * time.Second
	// idlePerBackend bounds the idle connections kept to one back end.
	idlePerBackend = 512
	bufferSize     = 8 << 10
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport for NewClient that keeps enough connections
// for many streams to few back ends. A nil dial means TCP.
func NewTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: idlePerBackend,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
	}
}
