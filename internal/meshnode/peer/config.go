package peer

import (
	"context"
	"net"
	"time"
)

// Limits bounds what a Transport uses. A zero field takes its default.
type Limits struct {
	// LineBytes bounds a line in either direction; 4 MiB.
	LineBytes int
	// QueueLength bounds the messages that wait for one connection; 256.
	QueueLength int
	// Handlers bounds the handlers that run at once for one connection; 128.
	Handlers int
	// IdleTimeout is the time after which an unused connection is closed; 15 s.
	IdleTimeout time.Duration
	// SilenceTimeout is the time after which a connection that was written to
	// and from which nothing came is closed; 10 s. It replaces connections whose
	// other end vanished, long before TCP would. A handler that answers later
	// than this over an otherwise quiet connection loses its answer.
	SilenceTimeout time.Duration
	// DialTimeout bounds dial and hello; 2 s.
	DialTimeout time.Duration
	// WriteTimeout bounds one write; 5 s.
	WriteTimeout time.Duration
	// CallTimeout applies to a Call whose context has no deadline; 5 s.
	CallTimeout time.Duration
	// BackoffMin and BackoffMax bound the time between dials of an address that
	// cannot be reached, before jitter; 50 ms and 2 s.
	BackoffMin, BackoffMax time.Duration
}

// DefaultLimits returns the limits that apply where a field is zero.
func DefaultLimits() Limits {
	return Limits{
		LineBytes:      4 << 20,
		QueueLength:    256,
		Handlers:       128,
		IdleTimeout:    15 * time.Second,
		SilenceTimeout: 10 * time.Second,
		DialTimeout:    2 * time.Second,
		WriteTimeout:   5 * time.Second,
		CallTimeout:    5 * time.Second,
		BackoffMin:     50 * time.Millisecond,
		BackoffMax:     2 * time.Second,
	}
}

func (l Limits) withDefaults() Limits {
	defaults := DefaultLimits()
	orDefault(&l.LineBytes, defaults.LineBytes)
	orDefault(&l.QueueLength, defaults.QueueLength)
	orDefault(&l.Handlers, defaults.Handlers)
	orDefault(&l.IdleTimeout, defaults.IdleTimeout)
	orDefault(&l.SilenceTimeout, defaults.SilenceTimeout)
	orDefault(&l.DialTimeout, defaults.DialTimeout)
	orDefault(&l.WriteTimeout, defaults.WriteTimeout)
	orDefault(&l.CallTimeout, defaults.CallTimeout)
	orDefault(&l.BackoffMin, defaults.BackoffMin)
	orDefault(&l.BackoffMax, defaults.BackoffMax)
	return l
}

func orDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config says who a Transport speaks for and over what.
type Config struct {
	// Node and Incarnation name this process to others.
	Node        string
	Incarnation int64
	// Address is where other nodes reach Listener; empty takes the listener's
	// own address.
	Address string
	// Listener accepts connections; nil makes a transport that only dials.
	Listener net.Listener
	// Dial is net.Dialer.DialContext if nil.
	Dial   DialFunc
	Limits Limits
}
