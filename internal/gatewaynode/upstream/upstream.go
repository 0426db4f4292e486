// Package upstream sends one request to one back end over HTTP/1.1 and says
// exactly what became of it.
//
// The standard client retries by itself and hides whether anything was sent, so
// this package keeps its own connections; it uses net/http for reading answers.
// A request has one of these fates:
//
//	NotSent   no byte left this process: it has not run
//	NotRun    the back end said that it did not and will not run it
//	Unknown   it was sent and may have run
//	Answered  an answer that belongs to the request has begun
//
// An answer belongs to the request only if it echoes its id. A whole answer
// with another id is surplus: it is passed over, and the connection is not used
// again. A connection is reused only after a whole answer with nothing behind it.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// Fate is what became of a request.
type Fate int

// The fates of a request.
const (
	NotSent Fate = iota
	NotRun
	Unknown
	Answered
)

// String returns the fate for logs.
func (f Fate) String() string {
	return [...]string{"not_sent", "not_run", "unknown", "answered"}[f]
}

// Call is a request to one back end.
type Call struct {
	ID      string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	Address string
	// Instance is the incarnation that must take the call.
	Instance string
	// Tenant is on whose behalf the call is made, empty for nobody's.
	Tenant string
	// Deadline is when the back end has to stop work; zero means none.
	Deadline time.Time
	// Priority is the rank among the requests at the back end, 1 the highest to 9; 0
	// names none, which counts as 5. See PriorityOf.
	Priority int
	// ResumeAfter is the last event that is already there; it counts if Resume.
	Resume      bool
	ResumeAfter int64
	// Fresh asks for a new connection.
	Fresh bool
	// Purpose is what the call is made for.
	Purpose Purpose
	// ProvenSince allows a kept connection only if an answer came on it after that time;
	// zero allows any. Connections fall silent together, without a reset, while new ones
	// work: what follows an attempt without an answer must not wait on another of them.
	ProvenSince time.Time
	// Work is what the call asks for; calls of no work are not followed, see Witness.
	Work fingerprint.Fingerprint
	// Unnumbered calls have no id, and their answers need not carry one.
	Unnumbered bool
	// Until, if set, is when the call has to be over: what a socket still holds of it by
	// then never leaves, whatever becomes of this process; see expire.
	Until time.Time
	// Admit is asked on a connection that stands, at the moment of sending; an error
	// keeps the call back. It may be nil only at a client that does not ask for it.
	Admit func() error
}

// Bounds of Call.Priority, and how far two ranks of routes lie apart in it.
const (
	priorityFirst = 1
	priorityLast  = 9
	priorityStep  = 2
)

// PriorityOf returns the priority of a call by the rank of its route or tenant, 0 the
// highest, and by how far, from 0 to 2, it may be put behind others of its rank. A call is
// never put behind one of a lower rank. It is pure.
func PriorityOf(rank, behind int) int {
	return min(priorityFirst+priorityStep*max(rank, 0)+min(behind, priorityStep), priorityLast)
}

// Meta is what the head of an answer says, translated.
type Meta struct {
	// ID is the request that the answer belongs to, empty if it does not say.
	ID string
	// NotRun tells that the request has not run and never will.
	NotRun bool
	// WrongInstance tells that another incarnation has the address.
	WrongInstance bool
	// HasLoad tells whether Running, Waiting and Slots are set.
	HasLoad                 bool
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes there just now, 0 if the back
	// end does not say.
	Slowdown float64
	// Version is the weight version that answers, 0 if it does not say.
	Version int64
	// Stamp is the back end's signature of the answer, empty if it gives none.
	Stamp string
}

// Load returns the load that the answer reports.
func (m Meta) Load() fleet.Load {
	return fleet.Load{Running: m.Running, Waiting: m.Waiting, Slowdown: m.Slowdown}
}

// Codec translates calls and answers to and from the back ends' protocol.
type Codec interface {
	// Encode returns the header of a call: Call.Header and what the protocol adds.
	Encode(call *Call, now time.Time) http.Header
	// Decode reads the head of an answer.
	Decode(status int, header http.Header) Meta
}

// Error is a call without an answer of its own.
type Error struct {
	Fate  Fate
	Cause error
	// Status is of the answer that said NotRun, if Fate is NotRun.
	Status int
	// Sent is when the call was written, zero if Fate is NotSent; After, how long after
	// that it failed.
	Sent  time.Time
	After time.Duration
	// End is how the call ended, if Fate is not NotSent.
	End End
	// Receipt tells how much of the call was read; Heard, that an answer of the back end came
	// after the sending, on any connection.
	Receipt Receipt
	Heard   bool
	// RoundTrip is how long the connection took to be made: about a round trip.
	RoundTrip time.Duration
	// Withheld tells that Call.Admit kept the call back: that says nothing of the back
	// end.
	Withheld bool
	// kept tells that the connection is sound and has been given back.
	kept bool
}

// Error implements error.
func (e *Error) Error() string { return "upstream: " + e.Fate.String() + ": " + e.Cause.Error() }

// end returns how the call ended that failed, whose context is ctx.
func (e *Error) end(ctx context.Context) End {
	if e.Fate == NotRun {
		return EndNotRun
	}
	return endOf(e.Cause, ctx.Err() != nil)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// FateOf returns the fate that an error of Do tells.
func FateOf(err error) Fate {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Fate
	}
	return Unknown
}

// Withheld tells whether an error of Do says that the call was kept back by its own node.
func Withheld(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Withheld
}

// Causes of failures.
var (
	// ErrSurplus says that only answers of other requests came.
	ErrSurplus = errors.New("answer belongs to another request")
	// ErrTruncated says that an answer ended before its end.
	ErrTruncated = errors.New("answer cut short")
	// ErrSilent, as the cause that the context of a call ended for, says that its caller
	// gave the back end up because nothing came for too long.
	ErrSilent = errors.New("nothing came for too long")
	// ErrCut says that this node ended the call for what it asks for, see Witness.
	ErrCut    = errors.New("ended by this node: others like it end their back ends")
	errNotRun = errors.New("back end did not run it")
)

// Config configures a Client.
type Config struct {
	Codec Codec
	// DialTimeout bounds a new connection, 0 means one second.
	DialTimeout time.Duration
	// IdleMost is how long a connection without a stated limit is kept.
	IdleMost time.Duration
	// Dialer may replace the network, for tests.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)
	// OnOpen is told of each new connection; it may be nil.
	OnOpen func(Opening)
	// Witness, if it is set, is told of the calls that back ends may run.
	Witness Witness
	// MustAdmit tells that a call without Call.Admit is a broken invariant.
	MustAdmit bool
}

const (
	defaultDialTimeout = time.Second
	defaultIdle        = 4 * time.Second
	// idleMargin is taken off the idle time that a back end states.
	idleMargin = 300 * time.Millisecond
	// silentLeast is after what time without an answer the other kept connections to a
	// back end are no longer used, unless an answer came on them meanwhile: above what
	// sound back ends usually take to begin an answer.
	silentLeast = 500 * time.Millisecond
	// inlineBody is the largest body that is written before the answer is read.
	inlineBody = 32 << 10
	// surplusMost is the number of surplus answers passed over in a call.
	surplusMost = 2
	// surplusBytes bounds a surplus answer.
	surplusBytes = 1 << 20
)

// Client sends calls. It is safe for concurrent use.
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
	if config.IdleMost == 0 {
		config.IdleMost = defaultIdle
	}
	if config.Dialer == nil {
		dialer := &net.Dialer{KeepAlive: -1}
		config.Dialer = dialer.DialContext
	}
	return &Client{config: config, peers: make(map[Peer]*peer)}
}

// Answer is an answer that belongs to its call. Body must be closed.
type Answer struct {
	Meta Meta
	// Sent is when the call was written.
	Sent   time.Time
	Status int
	Header http.Header
	// Length is the body's length in bytes, -1 if it is not known.
	Length int64
	Body   io.ReadCloser
}

// Broken returns the failure of a call whose answer ended before its end.
func (a *Answer) Broken(cause error) *Error {
	return &Error{Fate: Unknown, Cause: cause, Sent: a.Sent, After: time.Since(a.Sent), End: EndUnusable, Receipt: ReceiptWhole, Heard: true}
}

// Do sends the call and returns its answer once the head has come, or an
// *Error. The end of ctx closes the connection, which ends the run.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	conn, err := c.connect(ctx, call)
	if err != nil {
		return nil, &Error{Fate: NotSent, Cause: err}
	}
	if err := ctx.Err(); err != nil {
		// Nothing is sent for a caller that left while the connection was sought.
		c.giveBack(conn)
		return nil, &Error{Fate: NotSent, Cause: err}
	}
	if err := expire(conn, call.Until); err != nil {
		c.drop(conn, OpenCut)
		return nil, &Error{Fate: NotSent, Cause: err}
	}
	if err := c.admit(call); err != nil {
		c.giveBack(conn)
		return nil, &Error{Fate: NotSent, Cause: err, Withheld: true}
	}
	trace := c.begin(call, conn)
	release := context.AfterFunc(ctx, func() { c.drop(conn, OpenCut) })
	sent := time.Now()
	answer, failure := c.exchange(conn, call, release)
	if failure == nil {
		trace.Heard()
		answer.Sent = sent
		answer.Body = &tracedBody{ReadCloser: answer.Body, ctx: ctx, trace: trace, status: answer.Status}
		return answer, nil
	}
	if conn.cut.Load() {
		failure.Cause = ErrCut
	}
	failure.Sent, failure.After, failure.RoundTrip = sent, time.Since(sent), conn.roundTrip
	failure.End, failure.Receipt = failure.end(ctx), receiptOf(conn.Conn, failure.Cause)
	failure.Heard = c.heardAfter(conn.peer, sent)
	trace.End(failure.End, failure.Status)
	if !failure.kept {
		release()
		c.drop(conn, OpenCut)
	}
	if ctx.Err() != nil && failure.Fate == Unknown {
		failure.Cause = ctx.Err()
		if gaveUp(ctx) && time.Since(sent) >= silentLeast {
			c.distrust(conn.peer, sent)
		}
	}
	return nil, failure
}

// gaveUp tells whether a context ended because no answer came in time: that says something
// of the connections to the back end. That a caller left, or that another attempt was
// quicker, does not.
func gaveUp(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, ErrSilent) || errors.Is(cause, context.DeadlineExceeded)
}

// admit asks whether a call may leave the process now.
func (c *Client) admit(call *Call) error {
	if call.Admit != nil {
		return call.Admit()
	}
	if c.config.MustAdmit {
		panic("upstream: a call to a back end that nobody decided on: " + call.Method + " " + call.Target)
	}
	return nil
}

func (c *Client) exchange(conn *connection, call *Call, release func() bool) (*Answer, *Error) {
	head := c.head(call)
	written, err := send(conn, head, call.Body)
	if err != nil {
		// Even a failed write may have delivered all that counts.
		return nil, &Error{Fate: Unknown, Cause: err}
	}
	for surplus := 0; ; surplus++ {
		response, err := readHead(conn, call.Method)
		if err != nil {
			return nil, &Error{Fate: Unknown, Cause: err}
		}
		c.noteHeard(conn.peer)
		meta := c.config.Codec.Decode(response.StatusCode, response.Header)
		if c.belongs(conn, call, meta, response.StatusCode, surplus) {
			return c.answer(conn, call, response, meta, surplus > 0, written, release)
		}
		if surplus >= surplusMost || discard(response.Body) != nil || response.Close {
			return nil, &Error{Fate: Unknown, Cause: ErrSurplus}
		}
	}
}

// belongs tells whether an answer is the call's. One without an id is taken
// only for a failure that comes first on a new connection: no other request
// was ever sent there.
func (c *Client) belongs(conn *connection, call *Call, meta Meta, status, surplus int) bool {
	if meta.ID != "" {
		return meta.ID == call.ID
	}
	if call.Unnumbered {
		return true
	}
	return status >= http.StatusMultipleChoices && !conn.used && surplus == 0
}

func (c *Client) answer(conn *connection, call *Call, response *http.Response, meta Meta, tainted bool, written <-chan error, release func() bool) (*Answer, *Error) {
	if meta.NotRun || meta.WrongInstance {
		failure := &Error{Fate: NotRun, Cause: errNotRun, Status: response.StatusCode}
		if discard(response.Body) == nil && !tainted && finished(written) && release() {
			c.park(conn, response)
			failure.kept = true
		}
		return nil, failure
	}
	body := &answerBody{client: c, conn: conn, response: response, tainted: tainted, written: written, release: release}
	return &Answer{
		Meta:   meta,
		Status: response.StatusCode,
		Header: response.Header,
		Length: response.ContentLength,
		Body:   body,
	}, nil
}

func finished(written <-chan error) bool {
	if written == nil {
		return true
	}
	select {
	case err := <-written:
		return err == nil
	default:
		return false
	}
}

func (c *Client) head(call *Call) []byte {
	var buffer bytes.Buffer
	header := c.config.Codec.Encode(call, time.Now())
	buffer.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if len(call.Body) > 0 || bodyExpected(call.Method) {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	_ = header.Write(&buffer)
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

func bodyExpected(method string) bool {
	return method != http.MethodGet && method != http.MethodHead && method != http.MethodDelete
}

// send writes the request. A long body is written beside the reading of the
// answer, which may come first; the channel then tells the end of the write.
func send(conn net.Conn, head, body []byte) (<-chan error, error) {
	if len(body) <= inlineBody {
		_, err := conn.Write(append(head, body...))
		return nil, err
	}
	if _, err := conn.Write(head); err != nil {
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(body)
		written <- err
	}()
	return written, nil
}

// readHead returns the next answer that is not informational.
func readHead(conn *connection, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func discard(body io.Reader) error {
	read, err := io.Copy(io.Discard, io.LimitReader(body, surplusBytes+1))
	if err == nil && read > surplusBytes {
		return ErrTruncated
	}
	return err
}
