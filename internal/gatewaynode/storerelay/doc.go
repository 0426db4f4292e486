// Package storerelay lets a node use the row store through another node while the
// store turns it away, or while it cannot reach the store, and serves the others.
//
// Protocol. A connection between two nodes carries one call at a time: a request as
// a line of JSON, then its answer as a line of JSON. The node that gets a request
// makes the call by its own way to the store, never through a third node, and refuses
// at once while that way does not work. While the answer arrives from the store it writes a
// blank now and then, so that a call is given up for silence and not for its size.
//
// Decision. A node counts as away from the store when a call was refused, or has
// waited for longer than an answer takes, nothing else was answered meanwhile, and
// another node reached the store for it. Calls under way are then ended as of unknown
// outcome, and their callers try again, through that node. Direct reads go on as
// probes; after some of them in a row the node goes its own way again. While the
// store is away for all, no node answers, and calls fail as they do without a relay.
//
// Regions. Rows that hold what callers sent, and what was made of it, go only through
// nodes of the regions that the context of the call names (rowstore.Within), and of a call
// that names none through nodes of the own region alone. Where the node that calls go
// through stands elsewhere, such a call goes through another one, and is refused if there
// is none.
//
// Invariants. A commit is sent once for each call: after a way has failed, the caller
// decides whether to send it again under the same conditions. A call that may have
// reached the store is never reported as refused.
package storerelay

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// operation names a call of rowstore.Store.
type operation string

const (
	opCommit operation = "commit"
	opList   operation = "list"
	opWatch  operation = "watch"
	// opTell tells the other node something that is not for the store.
	opTell operation = "tell"
)

// request is a call. Transaction is that of a commit; a list has Partition, From, To
// and Limit, a watch After and WaitMillis, a message Message.
type request struct {
	Operation   operation             `json:"operation"`
	Transaction *rowstore.Transaction `json:"transaction,omitempty"`
	Table       string                `json:"table,omitempty"`
	Partition   string                `json:"partition,omitempty"`
	From        string                `json:"from,omitempty"`
	To          string                `json:"to,omitempty"`
	Limit       int                   `json:"limit,omitempty"`
	After       int64                 `json:"after,omitempty"`
	WaitMillis  int64                 `json:"wait_ms,omitempty"`
	Message     json.RawMessage       `json:"message,omitempty"`
}

// outcome names how a call ended.
type outcome string

const (
	outcomeOK        outcome = "ok"
	outcomeRefused   outcome = "refused"
	outcomeUnknown   outcome = "unknown"
	outcomeConflict  outcome = "conflict"
	outcomeCompacted outcome = "compacted"
	outcomeStale     outcome = "stale"
	outcomeInvalid   outcome = "invalid"
)

// answer is the end of a call. Rows are those of a snapshot or of a conflict.
type answer struct {
	Outcome  outcome        `json:"outcome"`
	Cause    string         `json:"cause,omitempty"`
	Revision int64          `json:"revision,omitempty"`
	Taken    int64          `json:"taken,omitempty"`
	Rows     []rowstore.Row `json:"rows,omitempty"`
	More     bool           `json:"more,omitempty"`
	// relayed tells that the answer came through another node.
	relayed bool
}

// sentinels are the errors of a store by the outcome that names them.
var sentinels = map[outcome]error{
	outcomeRefused:   rowstore.ErrRefused,
	outcomeUnknown:   rowstore.ErrUnknown,
	outcomeCompacted: rowstore.ErrCompacted,
	outcomeStale:     rowstore.ErrStale,
	outcomeInvalid:   rowstore.ErrInvalid,
}

// answerOf returns the answer that tells of an error of the store.
func answerOf(err error) answer {
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		return answer{Outcome: outcomeConflict, Rows: conflict.Rows}
	}
	for name, sentinel := range sentinels {
		if errors.Is(err, sentinel) {
			return answer{Outcome: name, Cause: err.Error()}
		}
	}
	return answer{Outcome: outcomeUnknown, Cause: err.Error()}
}

// err returns the error of the store that an answer tells of, nil for none.
func (a answer) err() error {
	switch a.Outcome {
	case outcomeOK:
		return nil
	case outcomeConflict:
		return &rowstore.ConflictError{Rows: a.Rows}
	}
	sentinel := sentinels[a.Outcome]
	if sentinel == nil {
		sentinel = rowstore.ErrUnknown
	}
	cause := strings.TrimPrefix(a.Cause, sentinel.Error()+": ")
	if a.relayed {
		return fmt.Errorf("%w: through another node: %s", sentinel, cause)
	}
	return fmt.Errorf("%w: %s", sentinel, cause)
}

func (a answer) snapshot() rowstore.Snapshot {
	return rowstore.Snapshot{Rows: a.Rows, More: a.More, Revision: a.Revision, Taken: a.Taken}
}
