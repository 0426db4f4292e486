package dispatch

import (
	"context"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// ErrNotRunning tags a Move of a request that has no stream to move.
const ErrNotRunning = errs.Tag("dispatch: not running")

// move is the export of one attempt's stream. state may be read once done is
// closed; it is nil if the export failed.
type move struct {
	attempt int
	done    chan struct{}
	state   *api.KVState
}

// Move exports the stream of a running repeatable request from its engine, so
// that the request goes on at another back end. It costs no retry budget. An
// error leaves the request where it is, or, if only the answer to the export
// was lost, lets it go on elsewhere from the text received.
func (d *Dispatcher) Move(ctx context.Context, requestID string) error {
	d.mu.Lock()
	e := d.running[requestID]
	d.mu.Unlock()
	if e == nil || !e.request.Repeatable || e.kind != configlog.PoolEngines {
		return ErrNotRunning.Errorf("request %s", requestID)
	}
	a, m := e.beginMove()
	if m == nil {
		return ErrNotRunning.Errorf("request %s has no stream to move", requestID)
	}
	defer close(m.done)
	ctx, cancel := context.WithTimeout(ctx, d.cfg.CancelTimeout)
	defer cancel()
	state, err := d.engines.Export(ctx, a.backend.Address, api.CancelRequest{RequestID: requestID, Attempt: a.number})
	if err != nil {
		return err
	}
	m.state = &state
	return nil
}

func (e *execution) beginMove() (*attempt, *move) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.current
	if a == nil || (e.move != nil && e.move.attempt == a.number) {
		return nil, nil
	}
	e.move = &move{attempt: a.number, done: make(chan struct{})}
	return a, e.move
}

// exportedHandle returns the cache handle of the attempt's export, empty if
// there is none. The end of the stream may overtake the answer to the export.
func (e *execution) exportedHandle(ctx context.Context, attempt int) string {
	e.mu.Lock()
	m := e.move
	e.mu.Unlock()
	if m == nil || m.attempt != attempt {
		return ""
	}
	select {
	case <-m.done:
	case <-ctx.Done():
		return ""
	}
	if m.state == nil || m.state.Tokens != e.progress.Tokens {
		return ""
	}
	return m.state.Handle
}
