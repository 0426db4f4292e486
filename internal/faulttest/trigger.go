package faulttest

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/rollout"
)

// actionKind names what a host does, as far as stories want to know it.
type actionKind string

const (
	// actionObject writes an object of a step to the object store.
	actionObject actionKind = "object"
	// actionManifest commits a manifest that gives out new positions.
	actionManifest actionKind = "manifest"
	// actionInvoke sends a request to an application, actionGenerate to an engine.
	actionInvoke   actionKind = "invoke"
	actionGenerate actionKind = "generate"
	// actionOrder orders a back end to load a version or to change its role.
	actionOrder actionKind = "order"
	// actionConfig commits a revision of the configuration.
	actionConfig actionKind = "config"
	// actionSample is a trainer's taking of a sample; its host is the trainer.
	actionSample actionKind = "sample"
)

// action is what a host does.
type action struct {
	host string
	kind actionKind
}

// phase tells whether the other side has not yet heard of an action, or has
// done it and the host has not yet heard so.
type phase string

const (
	before phase = "before"
	after  phase = "after"
)

// moment is a point in the protocol.
type moment struct {
	phase  phase
	action action
}

// trigger does something once, at the count-th moment. An empty host stands for
// any host.
type trigger struct {
	moment moment
	count  int
	// do gets the name of the host whose action it was. It is called before
	// anything else happens to that host and must not block.
	do func(host string)
}

func (t *trigger) meets(m moment) bool {
	anyHost := t.moment.action.host == "" || t.moment.action.host == m.action.host
	return anyHost && t.moment.phase == m.phase && t.moment.action.kind == m.action.kind
}

// At arranges for do to be called at the count-th such moment.
func (n *Network) At(m moment, count int, do func(host string)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.triggers = append(n.triggers, &trigger{moment: m, count: count, do: do})
}

// Forget drops the triggers that have not struck.
func (n *Network) Forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.triggers = nil
}

// Pending counts the triggers that have not struck.
func (n *Network) Pending() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.triggers)
}

// strike calls what was arranged for the moment.
func (n *Network) strike(m moment) {
	n.mu.Lock()
	var due []*trigger
	kept := n.triggers[:0]
	for _, t := range n.triggers {
		if t.meets(m) {
			t.count--
		}
		if t.count > 0 {
			kept = append(kept, t)
			continue
		}
		due = append(due, t)
	}
	n.triggers = kept
	n.mu.Unlock()
	for _, t := range due {
		t.do(m.action.host)
	}
}

// classify says what a host does by the beginning of an HTTP request.
func (n *Network) classify(host string, data []byte) action {
	line, _, found := bytes.Cut(data, []byte(" HTTP/1.1\r\n"))
	if !found {
		return action{}
	}
	method, path, _ := strings.Cut(string(line), " ")
	switch {
	case method == "PUT" && strings.HasPrefix(path, "/v1/objects/steps"):
		return action{host, actionObject}
	case path == "/v1/invoke":
		return action{host, actionInvoke}
	case path == "/v1/generate":
		return action{host, actionGenerate}
	case path == "/v1/orders":
		return action{host, actionOrder}
	case path == "/v1/table/transactions":
		return action{host, n.classifyTransaction(data)}
	}
	return action{}
}

func (n *Network) classifyTransaction(data []byte) actionKind {
	_, body, _ := bytes.Cut(data, []byte("\r\n\r\n"))
	var transaction api.Transaction
	if json.Unmarshal(body, &transaction) != nil {
		return ""
	}
	for _, put := range transaction.Puts {
		switch {
		case strings.HasPrefix(put.Key, "config/log/"):
			return actionConfig
		case strings.HasPrefix(put.Key, "steps/") && n.givesOut(put):
			return actionManifest
		}
	}
	return ""
}

// givesOut tells whether the row of a step gives out positions for the first time.
func (n *Network) givesOut(put api.Put) bool {
	var record rollout.StepRecord
	if json.Unmarshal(put.Value, &record) != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if record.Committed <= n.committed[put.Key] {
		return false
	}
	n.committed[put.Key] = record.Committed
	return true
}

// eventSink keeps the history and strikes at its events.
type eventSink struct {
	history.MemorySink
	network *Network
}

// Record implements history.Sink.
func (s *eventSink) Record(event history.Event) {
	s.MemorySink.Record(event)
	if event.Kind == history.KindSampleDelivered {
		s.network.strike(moment{phase: after, action: action{event.Process, actionSample}})
	}
}
