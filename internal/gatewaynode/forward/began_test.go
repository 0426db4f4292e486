package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// TestLikelyBegan checks which failed attempts count as begun.
func TestLikelyBegan(t *testing.T) {
	const far = 80 * time.Millisecond
	lost := func(after, roundTrip time.Duration) error {
		return &upstream.Error{Fate: upstream.Unknown, Cause: syscall.ECONNRESET, End: upstream.EndLost, After: after, RoundTrip: roundTrip}
	}
	closed := func(after time.Duration, receipt upstream.Receipt) error {
		return &upstream.Error{Fate: upstream.Unknown, Cause: io.ErrUnexpectedEOF, End: upstream.EndLost, After: after, Receipt: receipt}
	}
	heard := func(after time.Duration) error {
		return &upstream.Error{Fate: upstream.Unknown, Cause: syscall.ECONNRESET, End: upstream.EndLost, After: after, Heard: true}
	}
	ended := func(end upstream.End, after time.Duration) error {
		return &upstream.Error{Fate: upstream.Unknown, Cause: context.Canceled, End: end, After: after}
	}
	for _, test := range []struct {
		name  string
		err   error
		usual time.Duration
		want  bool
	}{
		{"reset at once", lost(100*time.Microsecond, 50*time.Microsecond), 0, false},
		{"reset while the process may wait for a CPU", lost(maxUnreadDelay, 50*time.Microsecond), 0, false},
		{"reset while the backend works", lost(maxUnreadDelay+time.Millisecond, 50*time.Microsecond), 0, true},
		{"reset before the usual latency", lost(3*maxUnreadDelay, 50*time.Microsecond), 4 * maxUnreadDelay, false},
		{"reset after the usual latency", lost(5*maxUnreadDelay, 50*time.Microsecond), 4 * maxUnreadDelay, true},
		{"reset after a long silence", lost(maxBackendSilence+time.Millisecond, 50*time.Microsecond), maxUnreadDelay, false},
		{"reset at once, data received", heard(0), maxUnreadDelay, true},
		{"reset after a long time, data received", heard(time.Minute), maxUnreadDelay, true},
		{"closed after a long silence, read whole", closed(maxBackendSilence+time.Millisecond, upstream.ReceiptComplete), maxUnreadDelay, false},
		{"reset within a long round trip", lost(far+maxUnreadDelay, far), 0, false},
		{"reset after a long round trip", lost(2*far+maxUnreadDelay, far), 0, true},
		{"closed at once, read whole", closed(0, upstream.ReceiptComplete), 0, true},
		{"closed late, unread", closed(time.Second, upstream.ReceiptPartial), 0, false},
		{"aborted by this node at once", ended(upstream.EndCancelled, 0), 0, true},
		{"aborted by this node", ended(upstream.EndCancelled, time.Second), 0, true},
		{"malformed response", ended(upstream.EndMalformed, time.Millisecond), 0, true},
		{"not sent", &upstream.Error{Fate: upstream.NotSent, Cause: context.Canceled}, 0, false},
		{"not run", &upstream.Error{Fate: upstream.NotRun, Cause: context.Canceled, End: upstream.EndNotRun}, 0, false},
		{"not an upstream error", errors.New("other"), 0, false},
	} {
		if got := likelyBegan(test.err, test.usual); got != test.want {
			t.Errorf("%s: likelyBegan = %v, want %v", test.name, got, test.want)
		}
	}
}

// silentStream is a dialer to a backend that sends the header of a stream and no event.
func silentStream(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		buffer := make([]byte, 4096)
		if _, err := far.Read(buffer); err != nil {
			return
		}
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = far.Read(buffer)
	}()
	return near, ctx.Err()
}

// TestAbandonedStreamCountsAsBegun checks that a stream counts as begun if its caller leaves
// before the first event.
func TestAbandonedStreamCountsAsBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestCluster(t, 1, latencyBudget)
		defer o.close()
		f := o.forwarders[0]
		f.config.Client = upstream.NewClient(upstream.Config{Codec: queueCodec{}, Dialer: silentStream})
		route := &routetable.Route{
			Name: "stream", Kind: routetable.KindStream, MaxAttempts: 1, Timeout: 5 * time.Second,
			Splits: []routetable.Split{{Service: "s", Weight: 1}},
		}
		errLeft := errors.New("caller left")
		ctx, leave := context.WithCancelCause(t.Context())
		time.AfterFunc(100*time.Millisecond, func() { leave(errLeft) })
		began := time.Now()
		report := f.Serve(ctx, httptest.NewRecorder(), &Request{
			ID: "r", Method: http.MethodPost, Target: "/", Received: began, Deadline: began.Add(5 * time.Second),
		}, route, 1)
		if report.Outcome != OutcomeLeft || !report.Began.Equal(began) || report.BeganBy != EvidenceSent {
			t.Errorf("%s, began %v by %q", report.Outcome, report.Began, report.BeganBy)
		}
		if report.Cause != errLeft.Error() {
			t.Errorf("ended for %q, want %q", report.Cause, errLeft)
		}
	})
}

// TestUnsentAttemptDoesNotCountAsBegun checks that an attempt does not count as begun if its
// caller leaves during the connect.
func TestUnsentAttemptDoesNotCountAsBegun(t *testing.T) {
	hang := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	synctest.Test(t, func(t *testing.T) {
		o := newTestCluster(t, 1, latencyBudget)
		defer o.close()
		f := o.forwarders[0]
		f.config.Client = upstream.NewClient(upstream.Config{Codec: queueCodec{}, Dialer: hang})
		errLeft := errors.New("caller left")
		ctx, leave := context.WithCancelCause(t.Context())
		time.AfterFunc(10*time.Millisecond, func() { leave(errLeft) })
		now := time.Now()
		report := f.Serve(ctx, httptest.NewRecorder(), &Request{
			ID: "r", Method: http.MethodPost, Target: "/", Received: now, Deadline: now.Add(time.Second),
		}, routeOf(0, overloadTarget), 1)
		if report.Outcome != OutcomeLeft || !report.Began.IsZero() || report.BeganBy != "" {
			t.Errorf("%s, began %v by %q", report.Outcome, report.Began, report.BeganBy)
		}
		if report.Cause != errLeft.Error() {
			t.Errorf("ended for %q, want %q", report.Cause, errLeft)
		}
	})
}
