// Package batch keeps batch jobs: many items submitted together, run later, and
// listed as results at fixed positions that every node can read.
//
// State. A job's rows lie in one partition of the row store, so that one
// transaction can touch several of them:
//
//	jobs/ID/head          owner, epoch, number of results; written by the owner
//	jobs/ID/end           exists once the job was ended
//	specs/ID/NONCE/I      the specification, in parts
//	results/ID/POSITION   one result, its further parts under POSITION/PART
//	partials/ID/ITEM/LINE/FROM
//	                      events of an unfinished item, from an event on; the
//	                      last row of a line says whether the text is whole
//
// Invariants.
//
//   - The head is created on the condition that neither head nor end exist, so a
//     job that is submitted again is taken once.
//
//   - Everything the owner writes is conditional on the head's revision and
//     changes the head. A commit whose outcome is unknown is sent again under the
//     same condition: either it succeeds, and the first can never take effect, or
//     the conflict shows the head that the first one wrote.
//
//   - A result is served only once it is committed, and its row never changes.
//
//   - A job whose owner is gone is taken over by writing the head with the next
//     epoch on the condition of its revision: of several nodes one succeeds, and
//     the old owner's later commits fail.
//
//   - Text of an unfinished item is stored now and then, so that the next owner
//     goes on behind it. A line is text that one owner made without a break; only
//     rows of one line are put together, so that two owners' texts never mix.
//
//   - An item with a scorer is listed as completed only with the score that a
//     call to its scoring service returned, made after the text was whole. Text,
//     versions and score are one row. A text that waits for its score is stored
//     like that of an unfinished item, and is not made again.
//
//   - A job lives in the regions that its route and its tenant allow by the configuration
//     in force: no node elsewhere owns it, takes it over or is handed it, and none keeps
//     its specification or texts. Without a node there a submission is refused, and a job
//     that was accepted waits.
//
//   - A job belongs to the tenant that its head names. For the callers of other tenants it
//     is not there, and its items run for that tenant whatever they say themselves.
//
// Owner. The node that accepts a job assigns it to the node that is first for
// the job's service by rendezvous hashing (see ownerKey), so that one node knows
// all work of a service: it keeps connections, balances, and continues texts of
// items that come again in a later job.
package batch

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// Tables of the row store.
const (
	TableJobs     = "jobs"
	TableSpecs    = "specs"
	TableResults  = "results"
	TablePartials = "partials"
)

// Item is one request of a job.
type Item struct {
	ID     string            `json:"id"`
	Path   string            `json:"path"`
	Header map[string]string `json:"header"`
	Body   []byte            `json:"body"`
	Group  string            `json:"group,omitempty"`
	// Tokens is the prompt plus the most that may come out; LengthHint is a guess
	// at what will come out, 0 if there is none.
	Tokens int `json:"tokens"`
	// PromptTokens is the size of the prompt, 0 if it is not known.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	LengthHint   int `json:"length_hint,omitempty"`
	// Scorer is the call that scores the item's text, nil if it has no score.
	Scorer *Scorer `json:"scorer,omitempty"`
}

// Scorer is the request to a scoring service that gives an item its score. It
// goes where the route of its host and path leads, and may be repeated.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// Spec is a job as it was submitted.
type Spec struct {
	ID         string `json:"id"`
	Route      string `json:"route"`
	Host       string `json:"host"`
	Model      string `json:"model,omitempty"`
	Step       int64  `json:"step,omitempty"`
	MinVersion int64  `json:"min_version,omitempty"`
	Desired    int    `json:"desired,omitempty"`
	Items      []Item `json:"items"`
	// Tenant goes into the head; it is kept there alone.
	Tenant string `json:"-"`
}

// Caller is on whose behalf a call about a job is made.
type Caller struct {
	// Tenant holds the caller's key, empty for a caller without one.
	Tenant string
	// Anyone is set where the configuration knows no tenants: callers are not told
	// apart.
	Anyone bool
}

// sees tells whether there is a job for a caller: jobs of another tenant are not.
func (c Caller) sees(head Head) bool {
	return c.Anyone || head.Tenant == "" || head.Tenant == c.Tenant
}

// Head is the row that owns a job.
type Head struct {
	Owner       string `json:"owner"`
	Incarnation int64  `json:"incarnation"`
	Epoch       int64  `json:"epoch"`
	// Pool is what the owner is chosen by; see ownerKey.
	Pool  string `json:"pool"`
	Model string `json:"model,omitempty"`
	// Tenant is on whose behalf the job runs, empty for nobody's. It is the name that
	// the key stood for when the job was accepted: a key that is taken away later
	// ends nothing.
	Tenant string `json:"tenant,omitempty"`
	// Route is the name of the job's route, and Regions are those in which the job could
	// live when it was accepted, none for all: they bind it once the configuration no
	// longer has the route.
	Route   string   `json:"route,omitempty"`
	Regions []string `json:"regions,omitempty"`
	// Work is the tokens expected to come out of all items.
	Work int `json:"work,omitempty"`
	// Width is how many items have to run at once, 0 if the head does not tell.
	Width int `json:"width,omitempty"`
	Total int `json:"total"`
	Count int `json:"count"`
	// More tells that a transaction could not hold all results that were finished: the
	// next commit follows at once.
	More  bool   `json:"more,omitempty"`
	Nonce string `json:"nonce"`
	Parts int    `json:"parts"`
	// SubmittedMillis is the accepting node's time of day, Unix milliseconds.
	SubmittedMillis int64 `json:"submitted_ms"`
	// Failures counts failed runs by item index, ScoreFailures failed calls of
	// scoring services.
	Failures      map[int]int `json:"failures,omitempty"`
	ScoreFailures map[int]int `json:"score_failures,omitempty"`
}

// State is how an item ended.
type State string

// The states of a result.
const (
	Completed State = "completed"
	Dead      State = "dead"
)

// Result is a listed item.
type Result struct {
	ID       string  `json:"id"`
	State    State   `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions,omitempty"`
	// Score is what the scoring service returned, empty without a scorer.
	Score string `json:"score,omitempty"`
}

// partialRow is a stretch of an unfinished item's text. Whole tells that the text
// ends with it.
type partialRow struct {
	Events   [][]byte `json:"events"`
	Versions []int64  `json:"versions"`
	Whole    bool     `json:"whole,omitempty"`
}

// Status tells how a call of the package ended.
type Status int

// The outcomes of calls.
const (
	// OK means done.
	OK Status = iota
	// NotFound means that there certainly is no such job or item.
	NotFound
	// Unavailable means that the node cannot tell just now; nothing was done.
	Unavailable
	// Uncertain means that it may have been done or be done later.
	Uncertain
	// Taken means that the job's id is in use for another tenant's job.
	Taken
	// NoRegion means that the job's route and its tenant have no region in common, and
	// NoNode, that no node stands in a region where the job may live; nothing was done.
	NoRegion
	NoNode
)

// String returns the status for logs.
func (s Status) String() string {
	return [...]string{"ok", "not_found", "unavailable", "uncertain", "taken", "no_region", "no_node"}[s]
}

func rowID(table, job, suffix string) rowstore.RowID {
	return rowstore.RowID{Table: table, Partition: rowstore.Shard(job), Key: job + "/" + suffix}
}

func headID(job string) rowstore.RowID { return rowID(TableJobs, job, "head") }
func endID(job string) rowstore.RowID  { return rowID(TableJobs, job, "end") }

func resultID(job string, position int) rowstore.RowID {
	return rowID(TableResults, job, fmt.Sprintf("%08d", position))
}

// resultPartID returns the row of a part of a result, counted from 0.
func resultPartID(job string, position, part int) rowstore.RowID {
	id := resultID(job, position)
	if part > 0 {
		id.Key = fmt.Sprintf("%s/%04d", id.Key, part)
	}
	return id
}

func specID(job, nonce string, part int) rowstore.RowID {
	return rowID(TableSpecs, job, fmt.Sprintf("%s/%06d", nonce, part))
}

func partialID(job string, item int, line string, from int) rowstore.RowID {
	return rowID(TablePartials, job, fmt.Sprintf("%08d/%s/%08d", item, line, from))
}

// splitKey returns the job and the rest of a row's key.
func splitKey(key string) (job, rest string) {
	job, rest, _ = strings.Cut(key, "/")
	return job, rest
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("batch: a row cannot be encoded: " + err.Error())
	}
	return encoded
}

// splitParts cuts content into parts of at most size bytes, at least one.
func splitParts(content []byte, size int) [][]byte {
	var parts [][]byte
	for len(content) > size {
		parts = append(parts, content[:size])
		content = content[size:]
	}
	return append(parts, content)
}

// expectedTokens returns how many tokens an item is expected to make: the guess
// that came with it, or else half of what it may.
func (i *Item) expectedTokens() int {
	if i.LengthHint > 0 {
		return i.LengthHint
	}
	return i.Tokens / 2
}

// age returns how long ago a job was submitted, never less than 0.
func (h Head) age(now time.Time) time.Duration {
	return max(0, now.Sub(time.UnixMilli(h.SubmittedMillis)))
}
