// Package batch runs jobs: sets of items that are submitted together, executed
// asynchronously, and returned as a list of results with fixed positions that can
// be read from any node.
//
// # Storage
//
// All rows of a job are in one partition of the row store, so that a transaction
// can cover several of them:
//
//	jobs/ID/head          owner, epoch, number of results; written by the owner
//	jobs/ID/end           present once a caller has ended the job
//	specs/ID/NONCE/I      part I of the specification
//	results/ID/POSITION   one result; further parts are under POSITION/PART
//	partials/ID/ITEM/SEQUENCE/FROM
//	                      a segment of an unfinished item's output, starting at
//	                      event FROM; the last segment tells whether the output
//	                      is complete
//
// # Invariants
//
//   - The head is created on the condition that neither head nor end exists, so
//     repeated submissions of a job create it once.
//
//   - Every commit of the owner is conditional on the head's revision and rewrites
//     the head. A commit with an unknown outcome is repeated under the same
//     condition: either the repetition succeeds and the first attempt can no longer
//     take effect, or the conflict returns the head that the first attempt wrote.
//
//   - A result is returned to callers only after it was committed, and its row
//     never changes.
//
//   - A node takes over a job whose owner is gone by writing the head with the next
//     epoch on the condition of its revision. Only one of several nodes succeeds,
//     and later commits of the old owner fail.
//
//   - The output of unfinished items is checkpointed, so that the next owner can
//     resume it. SEQUENCE identifies output that one owner generated without starting
//     over. Only segments of one sequence are joined, so that the outputs of two owners
//     are never mixed.
//
//   - An item with a scorer is listed as completed only with the score that its
//     scoring service returned for the complete output. Text, versions and score
//     are stored in one row. Output that waits for its score is checkpointed and
//     not generated again.
//
//   - A job is confined to the regions that the current configuration allows for
//     its route and its tenant: only nodes in these regions own it or store its
//     specification and its output. If there is no such node, submissions are
//     refused and accepted jobs wait.
//
//   - A job belongs to the tenant named in its head. Callers of other tenants get
//     the answer for a job that does not exist. The items run for that tenant
//     whatever their headers say.
//
// # Owner
//
// The node that accepts a job assigns it by rendezvous hashing over the job's
// owner key (see ownerKey). One node thus sees all jobs of a service, which lets it
// reuse connections, balance load, and resume the output of items that are
// submitted again in a later job.
package batch

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// Tables of the row store that hold jobs.
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
	// Tokens is the size of the prompt plus the output limit.
	Tokens int `json:"tokens"`
	// PromptTokens is the size of the prompt, 0 if unknown.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// LengthHint is the caller's estimate of the output length in tokens, 0 if there
	// is none.
	LengthHint int `json:"length_hint,omitempty"`
	// Scorer is the request that scores the item's output, nil if it is not scored.
	Scorer *Scorer `json:"scorer,omitempty"`
}

// Scorer is a request to a scoring service. It is routed by its host and path and
// may be sent more than once.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body,omitempty"`
}

// Spec is the specification of a job as submitted.
type Spec struct {
	ID         string `json:"id"`
	Route      string `json:"route"`
	Host       string `json:"host"`
	Model      string `json:"model,omitempty"`
	Step       int64  `json:"step,omitempty"`
	MinVersion int64  `json:"min_version,omitempty"`
	Desired    int    `json:"desired,omitempty"`
	Items      []Item `json:"items"`
	// Tenant is the tenant of the job. It is stored in the head only.
	Tenant string `json:"-"`
}

// Caller identifies on whose behalf a job is accessed.
type Caller struct {
	// Tenant is the tenant of the caller's key, empty for a caller without a key.
	Tenant string
	// AllTenants is set if the configuration defines no tenants. Every job is then
	// visible to every caller.
	AllTenants bool
}

// mayAccess reports whether the caller may access the job with the given head.
func (c Caller) mayAccess(head Head) bool {
	return c.AllTenants || head.Tenant == "" || head.Tenant == c.Tenant
}

// Head is the row that records the owner and the progress of a job.
type Head struct {
	Owner       string `json:"owner"`
	Incarnation int64  `json:"incarnation"`
	Epoch       int64  `json:"epoch"`
	// OwnerKey is the key by which the owner is chosen; see ownerKey.
	OwnerKey string `json:"pool"`
	Model    string `json:"model,omitempty"`
	// Tenant is the tenant for which the job runs, empty if there is none. It is
	// resolved from the caller's key when the job is accepted; revoking the key later
	// does not end the job.
	Tenant string `json:"tenant,omitempty"`
	// Route is the name of the job's route. Regions are the regions to which the job
	// was confined when it was accepted, empty for all; they apply once the
	// configuration no longer has the route.
	Route   string   `json:"route,omitempty"`
	Regions []string `json:"regions,omitempty"`
	// ExpectedTokens is the expected number of output tokens of all items.
	ExpectedTokens int `json:"work,omitempty"`
	// Width is the number of items that have to run concurrently, 0 if unknown.
	Width int `json:"width,omitempty"`
	// Total is the number of items, Count the number of committed results.
	Total int `json:"total"`
	Count int `json:"count"`
	// More is set if the transaction could not hold all finished results, so that
	// another commit follows at once.
	More bool `json:"more,omitempty"`
	// Nonce identifies the rows of the specification that belong to this head; Parts
	// is their number.
	Nonce string `json:"nonce"`
	Parts int    `json:"parts"`
	// SubmittedMillis is the time of submission in Unix milliseconds, by the wall
	// clock of the accepting node.
	SubmittedMillis int64 `json:"submitted_ms"`
	// Failures counts the runs that ended in a server error by item index, ScoreFailures
	// the failed calls to the scoring service.
	Failures      map[int]int `json:"failures,omitempty"`
	ScoreFailures map[int]int `json:"score_failures,omitempty"`
}

// State is the final state of an item.
type State string

// The states of a result.
const (
	Completed State = "completed"
	Dead      State = "dead"
)

// Result is the result of an item.
type Result struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	Text  string `json:"text"`
	// Versions are the weight versions that generated the text, ascending.
	Versions []int64 `json:"versions,omitempty"`
	// Score is the score that the scoring service returned, empty without a scorer.
	Score string `json:"score,omitempty"`
}

// partialRow is the value of a row of TablePartials: a segment of an unfinished item's
// output.
type partialRow struct {
	Events   [][]byte `json:"events"`
	Versions []int64  `json:"versions"`
	// Whole is set if the output ends with this segment.
	Whole bool `json:"whole,omitempty"`
}

// Status is the outcome of an operation on a job.
type Status int

// The outcomes of operations.
const (
	// OK means that the operation succeeded.
	OK Status = iota
	// NotFound means that the job or item does not exist.
	NotFound
	// Unavailable means that the node cannot answer at present. Nothing visible was changed,
	// though parts of a specification that no head refers to may have been written.
	Unavailable
	// Uncertain means that the operation may have taken effect or may do so later.
	Uncertain
	// IDInUse means that the job's ID is in use by a job of another tenant.
	IDInUse
	// NoRegion means that the job's route and its tenant have no region in common.
	// Nothing was changed.
	NoRegion
	// NoNode means that there is no node in the regions of the job. Nothing was
	// changed.
	NoNode
)

// String returns the name of the status that logs use.
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

// resultPartID returns the row ID of a part of a result. Parts are numbered from 0;
// part 0 is the row of the result itself.
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

func partialID(job string, item int, sequence string, from int) rowstore.RowID {
	return rowID(TablePartials, job, fmt.Sprintf("%08d/%s/%08d", item, sequence, from))
}

// splitKey splits a row's key into the job's ID and the rest.
func splitKey(key string) (job, rest string) {
	job, rest, _ = strings.Cut(key, "/")
	return job, rest
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("batch: encoding row: " + err.Error())
	}
	return encoded
}

// splitParts splits content into one or more parts of at most size bytes.
func splitParts(content []byte, size int) [][]byte {
	var parts [][]byte
	for len(content) > size {
		parts = append(parts, content[:size])
		content = content[size:]
	}
	return append(parts, content)
}

// expectedTokens returns the expected output length: the caller's hint, or half of
// Tokens if there is none.
func (i *Item) expectedTokens() int {
	if i.LengthHint > 0 {
		return i.LengthHint
	}
	return i.Tokens / 2
}

// age returns the time since the job was submitted. It is 0 if the clock of the
// accepting node is ahead.
func (h Head) age(now time.Time) time.Duration {
	return max(0, now.Sub(time.UnixMilli(h.SubmittedMillis)))
}
