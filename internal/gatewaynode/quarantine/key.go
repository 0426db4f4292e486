package quarantine

import (
	"context"
	"errors"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// keyRow is the key of the row that holds what fingerprints are made with.
const keyRow = "key"

// Of returns the fingerprint of a request, zero while the key is not known.
func (b *Book) Of(work fingerprint.Work) fingerprint.Fingerprint {
	key := b.key.Load()
	if key == nil {
		return fingerprint.Fingerprint{}
	}
	return key.Of(work)
}

// Known tells whether the node can tell requests apart: nodes that cannot must not serve.
func (b *Book) Known() bool { return b.key.Load() != nil }

// takeKey takes the key as the store has it.
func (b *Book) takeKey(value []byte) {
	var key fingerprint.Key
	if copy(key[:], value) < len(key) {
		b.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: Table, eventlog.Key: keyRow, eventlog.Cause: "too short"})
		return
	}
	b.key.Store(&key)
}

// makeKey writes a key if the store has none. Of nodes that do so together one succeeds.
func (b *Book) makeKey(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	key := fingerprint.NewKey()
	id := rowstore.RowID{Table: Table, Key: keyRow}
	_, err := b.config.Store.Commit(bounded, rowstore.Transaction{
		Conditions: []rowstore.Condition{{RowID: id}}, Puts: []rowstore.Row{{RowID: id, Value: key[:]}},
	})
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		b.key.Store(&key)
	case errors.As(err, &conflict):
		// The view brings the one that is there.
	default:
		b.config.Log.Warn(eventlog.EvidenceUnsent, eventlog.Fields{"row": keyRow, eventlog.Cause: err.Error()})
		pause.For(ctx, writeRetry)
		b.outbox.kick()
	}
}
