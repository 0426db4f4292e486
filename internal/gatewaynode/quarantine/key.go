package quarantine

import (
	"context"
	"errors"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// keyRow is the row key of the fingerprint key that all nodes share.
const keyRow = "key"

// Of returns the fingerprint of a request, or the zero value until the key has been read
// from the store.
func (t *Tracker) Of(work fingerprint.Input) fingerprint.Fingerprint {
	key := t.key.Load()
	if key == nil {
		return fingerprint.Fingerprint{}
	}
	return key.Of(work)
}

// HasKey reports whether the fingerprint key is available. Without it a node cannot
// recognize quarantined requests and must not serve.
func (t *Tracker) HasKey() bool { return t.key.Load() != nil }

// takeKey sets the fingerprint key to the value of its row.
func (t *Tracker) takeKey(value []byte) {
	var key fingerprint.Key
	if copy(key[:], value) < len(key) {
		t.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{
			eventlog.Table: Table, eventlog.Key: keyRow, eventlog.Cause: "fingerprint key is too short",
		})
		return
	}
	t.key.Store(&key)
}

// makeKey writes a new fingerprint key unless the store has one. Of several nodes that do so
// at the same time, one succeeds.
func (t *Tracker) makeKey(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	key := fingerprint.NewKey()
	id := rowstore.RowID{Table: Table, Key: keyRow}
	_, err := t.config.Store.Commit(bounded, rowstore.Transaction{
		Conditions: []rowstore.Condition{{RowID: id}}, Puts: []rowstore.Row{{RowID: id, Value: key[:]}},
	})
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		t.key.Store(&key)
	case errors.As(err, &conflict):
		// Another node wrote the key; Apply receives it.
	default:
		t.config.Log.Warn(eventlog.EvidenceUnsent, eventlog.Fields{
			"row": keyRow, eventlog.Cause: err.Error(),
		})
		pause.For(ctx, writeRetry)
		t.outbox.signal()
	}
}
