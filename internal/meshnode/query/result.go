package query

import (
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// Result is the answer to one statement: exactly one of Table, Change and
// Problem is set.
type Result struct {
	// Index counts the statements of a text from 0.
	Index int `json:"index"`
	// Statement is the text as the operator wrote it.
	Statement string        `json:"statement"`
	Table     *Table        `json:"table,omitempty"`
	Change    *ChangeResult `json:"change,omitempty"`
	// Problem says why the question could not be answered.
	Problem *api.Error `json:"problem,omitempty"`
}

// OK tells whether the statement did what it asks for; the statements after one
// that did not are not run.
func (r Result) OK() bool {
	if r.Change != nil {
		return r.Change.OK()
	}
	return r.Table != nil
}

// ChangeResult is the answer to a change and to SHOW CHANGE.
type ChangeResult struct {
	// ID names the change; SHOW CHANGE 'id' asks again.
	ID      string            `json:"id"`
	Outcome configlog.Outcome `json:"outcome"`
	// Revision is the change's revision where it was accepted, else the newest
	// that the node knew.
	Revision int64 `json:"revision"`
	// BeatenBy is the revision that came first, of a conflict.
	BeatenBy int64    `json:"beaten_by,omitempty"`
	Code     api.Code `json:"code,omitempty"`
	Message  string   `json:"message,omitempty"`
	// Force tells how far an accepted change is in force; nil where that is not
	// asked because the change was not accepted.
	Force *configlog.ForceReport `json:"force,omitempty"`
	// Waited is set where the statement asked to wait for the change to be in
	// force; it then succeeds only if it is.
	Waited    bool      `json:"waited,omitempty"`
	AsOf      time.Time `json:"as_of"`
	HeardFrom []string  `json:"heard_from"`
	Notes     []string  `json:"notes,omitempty"`
}

// OK tells whether the change was accepted and, where the statement waits for
// it, is in force.
func (c *ChangeResult) OK() bool {
	if c.Outcome != configlog.OutcomeAccepted {
		return false
	}
	return !c.Waited || (c.Force != nil && c.Force.Everywhere())
}
