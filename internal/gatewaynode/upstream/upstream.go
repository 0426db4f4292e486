// Package upstream sends single requests to backends over HTTP/1.1 and reports whether
// each may have run.
//
// The client of net/http retries on its own and does not report whether anything was sent.
// This package therefore manages its own connections and uses net/http only to parse
// answers. A request has one of these fates:
//
//	NotSent   no byte was written: it has not run
//	NotRun    the backend stated that it did not and will not run it
//	Unknown   it was sent and may have run
//	Answered  the head of its answer was received
//
// An answer belongs to a request if it echoes the request's id. A complete answer with
// another id is surplus: it is discarded, and the connection is not reused. A connection is
// reused only after a complete answer that is followed by no further bytes, and only for requests
// with an id that it has not carried: a surplus answer to one run of a request would be taken for
// the answer to the next.
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// Fate is the outcome of a request.
type Fate int

const (
	// NotSent means that no byte was written, so that the request has not run.
	NotSent Fate = iota
	// NotRun means that the backend stated that it did not and will not run the request.
	NotRun
	// Unknown means that the request was sent and may have run.
	Unknown
	// Answered means that the head of the request's answer was received.
	Answered
)

// String returns the name of the fate in logs.
func (f Fate) String() string {
	return [...]string{"not_sent", "not_run", "unknown", "answered"}[f]
}

// Call is a request to one backend.
type Call struct {
	ID      string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	Address string
	// Instance is the incarnation of the backend that the call is meant for. Another one
	// that has taken over the address refuses the call.
	Instance string
	// Tenant is the caller on whose behalf the call is made, or empty.
	Tenant string
	// Deadline is when the backend must stop running the call; zero means none.
	Deadline time.Time
	// Priority ranks the call at the backend, from 1, the highest, to 9. 0 means unset and
	// counts as 5. See PriorityOf.
	Priority int
	// Resume continues a stream after the event with the number ResumeAfter.
	Resume      bool
	ResumeAfter int64
	// NewConnection forces a new connection.
	NewConnection bool
	// Purpose labels the call in metrics of connections.
	Purpose Purpose
	// ProvenSince, if set, excludes idle connections without an answer since that time.
	// Connections to a backend can go silent together, without a reset, while new ones
	// work, so a retry after a silent attempt must not wait on another of them.
	ProvenSince time.Time
	// Work is the fingerprint of the request. Calls without one are not reported to the
	// Observer.
	Work fingerprint.Fingerprint
	// Unnumbered calls have no id, and their answers need not carry one. Each takes a connection
	// that has carried none before, unless Poll or Config.RepeatIDs is set.
	Unnumbered bool
	// Poll marks an Unnumbered call that reads a state which may be outdated, so that a late answer
	// to an earlier poll does no harm. Polls share connections.
	Poll bool
	// Until, if set, is when the call expires: bytes still unsent in the socket then are
	// discarded, even if this process has stopped; see expire.
	Until time.Time
	// Admit is called once a connection is available, immediately before sending. An error
	// withholds the call. It may be nil unless Config.MustAdmit is set.
	Admit func() error
}

const (
	// priorityFirst and priorityLast bound Call.Priority.
	priorityFirst = 1
	priorityLast  = 9
	// priorityStep is the distance between the priorities of adjacent ranks.
	priorityStep = 2
)

// PriorityOf returns the priority of a call from the rank of its route or tenant, 0 the
// highest, and the number of steps, from 0 to 2, by which it is demoted within its rank. A
// demoted call never falls behind calls of a lower rank.
func PriorityOf(rank, behind int) int {
	return min(priorityFirst+priorityStep*max(rank, 0)+min(behind, priorityStep), priorityLast)
}

// Meta is the decoded protocol header of an answer.
type Meta struct {
	// ID is the id of the request that the answer belongs to, or empty.
	ID string
	// NotRun reports that the request has not run and never will.
	NotRun bool
	// WrongInstance reports that another incarnation has the address.
	WrongInstance bool
	// HasLoad reports whether Running, Waiting and Slots are set.
	HasLoad                 bool
	Running, Waiting, Slots int
	// Slowdown is the current processing time of the backend as a multiple of its usual
	// one, or 0 if unknown.
	Slowdown float64
	// Version is the version of the weights that produced the answer, or 0 if unknown.
	Version int64
	// Stamp is the backend's signature of the answer, or empty.
	Stamp string
}

// Load returns the load that the answer reports. It is meaningful only if HasLoad is set.
func (m Meta) Load() fleet.Load {
	return fleet.Load{Running: m.Running, Waiting: m.Waiting, Slowdown: m.Slowdown}
}

// Codec maps calls and answers to the headers of the backends' protocol.
type Codec interface {
	// Encode returns the header of a call: Call.Header and the fields of the protocol.
	Encode(call *Call, now time.Time) http.Header
	// Decode returns the protocol fields of an answer.
	Decode(status int, header http.Header) Meta
}

// Error is the failure of a call that has no answer.
type Error struct {
	Fate  Fate
	Cause error
	// Status is the status of the refusal if Fate is NotRun.
	Status int
	// Sent is when the call was sent, zero if Fate is NotSent. After is the time from Sent to
	// the failure.
	Sent  time.Time
	After time.Duration
	// End is how the call ended, if Fate is not NotSent.
	End End
	// Receipt is how much of the call the backend had read.
	Receipt Receipt
	// Heard reports whether any answer of the backend was received after Sent, on any
	// connection.
	Heard bool
	// RoundTrip is the time that the connection took to open, about one round trip.
	RoundTrip time.Duration
	// Withheld reports that Call.Admit or Call.Validate refused the call, which is no sign of a
	// fault of the backend.
	Withheld bool
	// kept reports that the connection is usable and was returned to the pool.
	kept bool
}

// Error implements error.
func (e *Error) Error() string { return "upstream: " + e.Fate.String() + ": " + e.Cause.Error() }

// end returns the End of a failed call; ctx is the context of the call.
func (e *Error) end(ctx context.Context) End {
	if e.Fate == NotRun {
		return EndNotRun
	}
	return endOf(e.Cause, ctx.Err() != nil)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// FateOf returns the fate of a call for which Do returned err, Unknown if err is no *Error.
func FateOf(err error) Fate {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Fate
	}
	return Unknown
}

// Withheld reports whether err is from a call that Call.Admit or Call.Validate refused.
func Withheld(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Withheld
}

// Values of Error.Cause, apart from network errors.
var (
	// ErrSurplus means that only answers to other requests were received.
	ErrSurplus = errors.New("answer belongs to another request")
	// ErrTooLong means that an answer is longer than one may be, in its head or its body.
	ErrTooLong = errors.New("answer too long")
	// ErrSilent is the cause with which a caller cancels the context of a call if the backend
	// sent nothing for too long.
	ErrSilent = errors.New("nothing came for too long")
	// ErrQuarantined means that the Observer cancelled the call.
	ErrQuarantined = errors.New("cancelled by this node: the request is quarantined")
	errNotRun      = errors.New("back end did not run it")
)

// Config configures a Client.
type Config struct {
	Codec Codec
	// DialTimeout bounds the opening of a connection; 0 means one second.
	DialTimeout time.Duration
	// IdleTimeout is the idle timeout of connections for which the backend states none; 0
	// means four seconds.
	IdleTimeout time.Duration
	// Dialer opens connections; nil means a net.Dialer. Tests replace it.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)
	// OnOpen, if not nil, is called for each new connection.
	OnOpen func(Opening)
	// Observer, if not nil, observes the calls that backends may run.
	Observer Observer
	// RepeatIDs lets a connection carry several calls with the same id, or without any. Set it
	// only if the backend sends no surplus answers.
	RepeatIDs bool
	// MaxAnswer bounds the body of an answer in bytes, with its framing; 0 means 16 MiB. A longer
	// one fails with ErrTooLong.
	MaxAnswer int
	// MustAdmit makes Do panic on a call without Call.Admit.
	MustAdmit bool
}

const (
	defaultDialTimeout = time.Second
	defaultIdle        = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a backend states, so that a call
	// is not sent on a connection that the backend is closing.
	idleMargin = 300 * time.Millisecond
	// minSilence is how long a call must have waited for an answer before its failure
	// closes the other idle connections to the backend. It exceeds the usual time to the
	// head of an answer.
	minSilence = 500 * time.Millisecond
	// inlineBody is the largest body, in bytes, that is written in full before the answer is
	// read.
	inlineBody = 32 << 10
	// maxSurplus bounds the surplus answers that a call discards.
	maxSurplus = 2
	// surplusBytes bounds the body of a discarded answer.
	surplusBytes = 1 << 20
)

// Client sends calls over a pool of connections. It is safe for concurrent use.
type Client struct {
	config Config

	mu    sync.Mutex
	peers map[Peer]*peer
}

// NewClient returns a client without connections.
func NewClient(config Config) *Client {
	if config.DialTimeout == 0 {
		config.DialTimeout = defaultDialTimeout
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = defaultIdle
	}
	if config.MaxAnswer == 0 {
		config.MaxAnswer = defaultMaxAnswer
	}
	if config.Dialer == nil {
		dialer := &net.Dialer{KeepAlive: -1}
		config.Dialer = dialer.DialContext
	}
	return &Client{config: config, peers: make(map[Peer]*peer)}
}

// Answer is the answer to a call. The caller must close Body.
type Answer struct {
	Meta Meta
	// Sent is when the call was sent.
	Sent   time.Time
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// EndsWithConnection reports that only the end of the connection ends the body. It is then not
	// known whether the backend had more to send, unless the connection was reset.
	EndsWithConnection bool
	Body               io.ReadCloser
}

// BodyError returns the Error of a call whose answer is incomplete or malformed.
func (a *Answer) BodyError(cause error) *Error {
	return &Error{
		Fate: Unknown, Cause: cause, Sent: a.Sent, After: time.Since(a.Sent),
		End: EndMalformed, Receipt: ReceiptComplete, Heard: true,
	}
}

// Do sends a call and returns once the head of its answer was received. Its errors are of
// type *Error. Cancelling ctx closes the connection, on which the backend stops the run.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	if err := call.Validate(); err != nil {
		return nil, &Error{Fate: NotSent, Cause: err, Withheld: true}
	}
	conn, err := c.connect(ctx, call)
	if err != nil {
		return nil, &Error{Fate: NotSent, Cause: err}
	}
	if err := ctx.Err(); err != nil {
		// The caller cancelled while the connection was being opened.
		c.giveBack(conn)
		return nil, &Error{Fate: NotSent, Cause: err}
	}
	if err := expire(conn, call.Until); err != nil {
		c.drop(conn, OpenAborted)
		return nil, &Error{Fate: NotSent, Cause: err}
	}
	if err := c.admit(call); err != nil {
		c.giveBack(conn)
		return nil, &Error{Fate: NotSent, Cause: err, Withheld: true}
	}
	trace := c.begin(call, conn)
	release := context.AfterFunc(ctx, func() { c.drop(conn, OpenAborted) })
	sent := time.Now()
	answer, failure := c.exchange(conn, call, release)
	if failure == nil {
		trace.Heard()
		answer.Sent = sent
		answer.Body = &tracedBody{ReadCloser: answer.Body, ctx: ctx, trace: trace, status: answer.Status}
		return answer, nil
	}
	if conn.cut.Load() {
		failure.Cause = ErrQuarantined
	}
	failure.Sent, failure.After, failure.RoundTrip = sent, time.Since(sent), conn.roundTrip
	failure.End, failure.Receipt = failure.end(ctx), receiptOf(conn.Conn, failure.Cause)
	failure.Heard = c.heardAfter(conn.peer, sent)
	trace.End(failure.End, failure.Status)
	if !failure.kept {
		release()
		c.drop(conn, OpenAborted)
	}
	if ctx.Err() != nil && failure.Fate == Unknown {
		failure.Cause = ctx.Err()
		if gaveUp(ctx) && time.Since(sent) >= minSilence {
			c.closeIdleBefore(conn.peer, sent)
		}
	}
	return nil, failure
}

// gaveUp reports whether a context ended because no answer came in time, which casts doubt
// on the other connections to the backend. A caller's cancellation, or that of the slower
// of two attempts, does not.
func gaveUp(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, ErrSilent) || errors.Is(cause, context.DeadlineExceeded)
}

// admit returns the error of Call.Admit.
func (c *Client) admit(call *Call) error {
	if call.Admit != nil {
		return call.Admit()
	}
	if c.config.MustAdmit {
		panic("upstream: call without Admit: " + call.Method + " " + call.Target)
	}
	return nil
}
