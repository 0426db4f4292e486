package machinewatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// readIfReader reads the list if this node is one of its readers.
func (w *Watcher) readIfReader(ctx context.Context) {
	reader := configlog.IsReader(w.cfg.Node, w.cfg.Members.Alive(), readersPerRegion)
	w.setReader(reader)
	if !reader {
		return
	}
	reading, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := w.cfg.Machines.Machines(reading)
	if ctx.Err() != nil {
		return
	}
	w.noteReading(err)
	if err == nil {
		w.learn(NewView(list, w.cfg.Node))
	}
}

func (w *Watcher) setReader(reader bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.status.Reader = reader
	if !reader {
		w.status.Error = ""
	}
}

func (w *Watcher) noteReading(err error) {
	w.mu.Lock()
	failedBefore := w.status.Error != ""
	w.status.Error = ""
	if err == nil {
		w.status.ReadAt = time.Now()
	} else {
		w.status.Error = err.Error()
	}
	w.mu.Unlock()
	if err != nil && !failedBefore {
		w.lg.WithError(err).Warn("the machine list cannot be read; what it said last stays")
	}
}

// learn takes a View, and passes it on where other names are leaving in it.
func (w *Watcher) learn(view View) {
	if !w.adopt(view) {
		return
	}
	w.lg.WithField("reader", view.Reader).WithField("leaving", view.Leaving).Info("machines that are leaving changed")
	select {
	case w.changed <- struct{}{}:
	default:
	}
	for _, member := range w.others(w.cfg.PushFanout) {
		w.cfg.Peers.Send(member.Address, KindLeaving, view)
	}
}

// adopt makes view this node's if it is newer, and tells whether other names are
// leaving in it.
func (w *Watcher) adopt(view View) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.known.Load()
	if view.AsOfMS == 0 {
		return false
	}
	merged, changed := Merge(current.view, view)
	next := &known{view: merged, leaving: current.leaving}
	if changed {
		next.leaving = merged.set()
	}
	w.known.Store(next)
	return changed
}

func (w *Watcher) handleLeaving(_ context.Context, _ string, body json.RawMessage) (any, error) {
	var view View
	if err := json.Unmarshal(body, &view); err != nil {
		return nil, err
	}
	w.learn(view)
	return nil, nil
}

// exchange compares this node's View with a random member's.
func (w *Watcher) exchange(ctx context.Context) {
	for _, member := range w.others(1) {
		w.exchangeWith(ctx, member)
	}
}

func (w *Watcher) exchangeWith(ctx context.Context, member configlog.Member) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	view := w.known.Load().view
	brief := view.brief()
	var response ExchangeResponse
	err := w.cfg.Peers.Call(ctx, member.Address, KindExchange, ExchangeRequest{Brief: brief}, &response)
	switch {
	case err != nil:
		w.lg.WithError(err).WithField("member", member.Name).Debug("exchange failed")
	case response.View != nil:
		w.learn(*response.View)
	case response.Hash == brief.Hash:
		w.adopt(view.asOf(response.Brief))
	default:
		w.cfg.Peers.Send(member.Address, KindLeaving, view)
	}
}

func (w *Watcher) handleExchange(_ context.Context, _ string, body json.RawMessage) (any, error) {
	var request ExchangeRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	view := w.known.Load().view
	response := ExchangeResponse{Brief: view.brief()}
	if response.Hash == request.Hash {
		w.adopt(view.asOf(request.Brief))
		return response, nil
	}
	if view.AsOfMS >= request.AsOfMS {
		response.View = &view
	}
	return response, nil
}
