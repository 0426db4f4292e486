package quarantine

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// Table is the store table of failures, trials and the fingerprint key. Its rows hold no
// body, path or key of a caller.
const Table = "evidence"

// row is the stored value of a Failure; the rest of it is in the row's key.
type row struct {
	Service string      `json:"service"`
	Kind    FailureKind `json:"how"`
	Node    string      `json:"node"`
	// Durable is absent from rows of nodes that do not know it. Their failures count as those
	// of live requests.
	Durable bool `json:"durable,omitempty"`
}

// errRow reports a malformed row key.
var errRow = errors.New("quarantine: row key is not of the form work/backend/number")

// decodeFailure decodes a row. For a deleted row it returns the fields in the key only.
func decodeFailure(r rowstore.Row) (Failure, error) {
	failure, err := decodeKey(r.Key)
	if err != nil || r.Deleted {
		return failure, err
	}
	var value row
	if err := json.Unmarshal(r.Value, &value); err != nil {
		return Failure{}, err
	}
	return value.with(failure), nil
}

// decodeKey decodes a row key of the form work/backend/number. The backend may itself
// contain slashes.
func decodeKey(key string) (Failure, error) {
	work, rest, _ := strings.Cut(key, "/")
	last := strings.LastIndex(rest, "/")
	if last <= 0 {
		return Failure{}, errRow
	}
	sequence, err := strconv.Atoi(rest[last+1:])
	if err != nil {
		return Failure{}, errRow
	}
	parsed, err := fingerprint.Parse(work)
	return Failure{Work: parsed, Backend: rest[:last], Sequence: sequence}, err
}

// with returns failure with the fields of the row value set.
func (r row) with(failure Failure) Failure {
	failure.Service, failure.Kind, failure.Node, failure.Durable = r.Service, r.Kind, r.Node, r.Durable
	return failure
}

func rowValue(failure Failure) row {
	return row{Service: failure.Service, Kind: failure.Kind, Node: failure.Node, Durable: failure.Durable}
}

// rowOf encodes a failure as a row.
func rowOf(failure Failure) rowstore.Row {
	value, err := json.Marshal(rowValue(failure))
	if err != nil {
		panic("quarantine: encode failure row: " + err.Error())
	}
	return rowstore.Row{RowID: rowID(keyOf(failure)), Value: value}
}

func rowID(key rowKey) rowstore.RowID { return rowstore.RowID{Table: Table, Key: string(key)} }

// Apply takes changed rows of Table, or all of its rows if complete is set. It implements
// rowstore.ViewConfig.Apply.
func (t *Tracker) Apply(rows []rowstore.Row, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	present := make(map[rowKey]bool, len(rows))
	for _, r := range rows {
		if r.Key == keyRow {
			t.takeKey(r.Value)
			continue
		}
		if work, is := trialOf(r.Key); is {
			t.sawTrial(work, r.Deleted)
			continue
		}
		failure, err := decodeFailure(r)
		if err != nil {
			t.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{
				eventlog.Table: Table, eventlog.Key: r.Key, eventlog.Cause: err.Error(),
			})
			continue
		}
		if r.Deleted {
			t.cleared(failure, now)
			continue
		}
		present[keyOf(failure)] = true
		t.learn(known{Failure: failure, at: now, stored: true})
	}
	if !complete {
		return
	}
	if t.key.Load() == nil {
		t.outbox.signal()
	}
	for _, s := range t.suspects {
		for _, k := range s.failures {
			if k.stored && !present[keyOf(k.Failure)] {
				t.cleared(k.Failure, now)
			}
		}
	}
}

// cleared withdraws a failure whose row was deleted. A failure that this node has not yet
// written stays. The caller holds t.mu.
func (t *Tracker) cleared(failure Failure, now time.Time) {
	s := t.suspects[failure.Work]
	if s == nil {
		return
	}
	k, found := s.failures[failure.id()]
	if !found || !k.stored {
		return
	}
	t.withdraw(s, failure.id(), now)
}

// message is the encoding of a Failure between nodes.
type message struct {
	Key string `json:"key"`
	row
}

// EncodeFailures encodes failures for ReceiveFailures.
func EncodeFailures(ends []Failure) json.RawMessage {
	list := make([]message, 0, len(ends))
	for _, failure := range ends {
		list = append(list, message{Key: string(keyOf(failure)), row: rowValue(failure)})
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		panic("quarantine: encode failure message: " + err.Error())
	}
	return encoded
}

// ReceiveFailures takes encoded failures from another node that could not write them to the
// store.
func (t *Tracker) ReceiveFailures(encoded json.RawMessage) {
	var list []message
	if err := json.Unmarshal(encoded, &list); err != nil {
		t.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{
			eventlog.Table: Table, eventlog.Cause: err.Error(),
		})
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, m := range list {
		failure, err := decodeKey(m.Key)
		if err != nil {
			t.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{
				eventlog.Table: Table, eventlog.Key: m.Key, eventlog.Cause: err.Error(),
			})
			continue
		}
		t.learn(known{Failure: m.with(failure), at: now})
	}
}
