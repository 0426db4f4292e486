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
	How     FailureKind `json:"how"`
	Node    string      `json:"node"`
}

// errRow reports a malformed row key.
var errRow = errors.New("quarantine: row key is not of the form work/backend/number")

// endOf decodes a row. For a deleted row it returns the fields in the key only.
func endOf(r rowstore.Row) (Failure, error) {
	end, err := endOfKey(r.Key)
	if err != nil || r.Deleted {
		return end, err
	}
	var value row
	if err := json.Unmarshal(r.Value, &value); err != nil {
		return Failure{}, err
	}
	return value.with(end), nil
}

// endOfKey decodes a row key of the form work/backend/number. The backend may itself
// contain slashes.
func endOfKey(key string) (Failure, error) {
	work, rest, _ := strings.Cut(key, "/")
	last := strings.LastIndex(rest, "/")
	if last <= 0 {
		return Failure{}, errRow
	}
	life, err := strconv.Atoi(rest[last+1:])
	if err != nil {
		return Failure{}, errRow
	}
	parsed, err := fingerprint.Parse(work)
	return Failure{Work: parsed, Backend: rest[:last], Sequence: life}, err
}

// with returns end with the fields of the row value set.
func (r row) with(end Failure) Failure {
	end.Service, end.Kind, end.Node = r.Service, r.How, r.Node
	return end
}

func rowValue(end Failure) row { return row{Service: end.Service, How: end.Kind, Node: end.Node} }

// rowOf encodes a failure as a row.
func rowOf(end Failure) rowstore.Row {
	value, err := json.Marshal(rowValue(end))
	if err != nil {
		panic("quarantine: encode failure row: " + err.Error())
	}
	return rowstore.Row{RowID: rowID(keyOf(end)), Value: value}
}

func rowID(key rowKey) rowstore.RowID { return rowstore.RowID{Table: Table, Key: string(key)} }

// Apply takes changed rows of Table, or all of its rows if complete is set. It implements
// rowstore.ViewConfig.Apply.
func (b *Tracker) Apply(rows []rowstore.Row, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	present := make(map[rowKey]bool, len(rows))
	for _, r := range rows {
		if r.Key == keyRow {
			b.takeKey(r.Value)
			continue
		}
		if work, is := trialOf(r.Key); is {
			b.sawTrial(work, r.Deleted)
			continue
		}
		end, err := endOf(r)
		if err != nil {
			b.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: Table, eventlog.Key: r.Key, eventlog.Cause: err.Error()})
			continue
		}
		if r.Deleted {
			b.cleared(end, now)
			continue
		}
		present[keyOf(end)] = true
		b.learn(known{Failure: end, at: now, stored: true})
	}
	if !complete {
		return
	}
	if b.key.Load() == nil {
		b.outbox.kick()
	}
	for _, s := range b.suspects {
		for _, k := range s.ends {
			if k.stored && !present[keyOf(k.Failure)] {
				b.cleared(k.Failure, now)
			}
		}
	}
}

// cleared withdraws a failure whose row was deleted. A failure that this node has not yet written
// stays. The caller holds b.mu.
func (b *Tracker) cleared(end Failure, now time.Time) {
	s := b.suspects[end.Work]
	if s == nil {
		return
	}
	k, found := s.ends[end.id()]
	if !found || !k.stored {
		return
	}
	b.withdraw(s, end.id(), now)
}

// message is the encoding of a Failure between nodes.
type message struct {
	Key string `json:"key"`
	row
}

// EncodeFailures encodes failures for ReceiveFailures.
func EncodeFailures(ends []Failure) json.RawMessage {
	list := make([]message, 0, len(ends))
	for _, end := range ends {
		list = append(list, message{Key: string(keyOf(end)), row: rowValue(end)})
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		panic("quarantine: encode failure message: " + err.Error())
	}
	return encoded
}

// ReceiveFailures takes encoded failures from another node that could not write the failures to the store.
func (b *Tracker) ReceiveFailures(encoded json.RawMessage) {
	var list []message
	if err := json.Unmarshal(encoded, &list); err != nil {
		b.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: Table, eventlog.Cause: err.Error()})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, m := range list {
		end, err := endOfKey(m.Key)
		if err != nil {
			b.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: Table, eventlog.Key: m.Key, eventlog.Cause: err.Error()})
			continue
		}
		b.learn(known{Failure: m.with(end), at: now})
	}
}
