package digest

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// Source is a table of which a digest is kept, as the publisher reads it.
type Source struct {
	// Name is part of the layout of the digest's rows.
	Name string
	// Reached returns the moment up to which all changes were taken, and whether the table
	// is read whole just now.
	Reached func() (rowstore.Moment, bool)
	// Outage returns for how long the table could not be read at last, and when that ended.
	Outage func() (lasted time.Duration, ended time.Time)
	// Keys returns the keys of all rows.
	Keys func() []string
	// Entry returns what matters of a row, and its revision; false if there is none.
	Entry func(key string) (content json.RawMessage, revision int64, present bool)
	// Sum returns what a row adds to the sum of a digest, see MirrorConfig.Sum.
	Sum func(key string, content json.RawMessage) uint64
}

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Store rowstore.Store
	Log   *eventlog.Log
	// Self and Incarnation name the process.
	Self        string
	Incarnation int64
	Source      Source
	Timing      Timing
	// TransactionRows is what the store takes in one transaction.
	TransactionRows int
	// Follower tells what others publish.
	Follower *Follower
	// Rank returns this node's place among those that could publish when a node is not
	// counted, -1 if it is not to.
	Rank func(without string, now time.Time) int
}

// Publisher is this node's part in publishing. It is safe for concurrent use.
type Publisher struct {
	config PublisherConfig

	mu sync.Mutex
	// active tells that this node publishes, or reads the digest in order to. dirty holds the
	// keys that have changed since they were written, published what was written.
	active    bool
	dirty     map[string]bool
	published map[string]publishedEntry

	// Of Run alone: the proof as it was written last, when, and its revision.
	proof    Proof
	revision int64
	wrote    time.Time
}

// NewPublisher returns a publisher that does not publish yet.
func NewPublisher(config PublisherConfig) *Publisher { return &Publisher{config: config} }

// Active tells whether this node publishes.
func (p *Publisher) Active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

// Touch notes that rows have changed; it is called before the source's Reached tells so.
func (p *Publisher) Touch(keys ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.active {
		return
	}
	for _, key := range keys {
		p.dirty[key] = true
	}
}

// TouchAll notes that any row may have changed or be gone.
func (p *Publisher) TouchAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active {
		p.dirtyAll()
	}
}

// dirtyAll notes that any row may have changed. The lock is held.
func (p *Publisher) dirtyAll() {
	for key := range p.published {
		p.dirty[key] = true
	}
	for _, key := range p.config.Source.Keys() {
		p.dirty[key] = true
	}
}

// publishEvery is how often changes are written. It is the part of a change's way that
// followers wait for beside their own watch.
const publishEvery = 100 * time.Millisecond

// Run publishes whenever it is this node's turn, until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	for pause.For(ctx, p.restFor()) {
		p.step(ctx, time.Now())
	}
}

// restFor returns the time between two steps.
func (p *Publisher) restFor() time.Duration {
	if p.Active() {
		return publishEvery
	}
	return lookEvery
}

func (p *Publisher) step(ctx context.Context, now time.Time) {
	reached, whole := p.config.Source.Reached()
	if !p.Active() {
		if whole && p.mayTakeOver(reached, now) {
			p.takeOver(ctx)
		}
		return
	}
	if !whole || p.config.Rank("", now) < 0 {
		p.stepDown("this node is no candidate any more")
		return
	}
	changes := p.changes(p.takeDirty())
	if len(changes) == 0 && now.Sub(p.wrote) < p.config.Timing.proofEvery() {
		return
	}
	p.write(ctx, changes, reached)
}

// publishedEntry is what the digest holds of a row: its content, and what that adds to the sum.
type publishedEntry struct {
	content string
	sum     uint64
}

func (p *Publisher) entry(key string, content json.RawMessage) publishedEntry {
	return publishedEntry{content: string(content), sum: p.config.Source.Sum(key, content)}
}

// uncertain stands for what was published where that is not known. It is no entry's
// content, so that the row is written or removed once more.
const uncertain = "?"

func (p *Publisher) stepDown(cause string) {
	p.mu.Lock()
	p.active, p.dirty, p.published = false, nil, nil
	p.mu.Unlock()
	p.config.Log.Warn(eventlog.DigestLeft, eventlog.Fields{eventlog.Table: p.config.Source.Name, eventlog.Cause: cause, eventlog.Revision: p.revision})
}

// takeDirty returns the keys that have changed, ordered, and forgets them.
func (p *Publisher) takeDirty() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := make([]string, 0, len(p.dirty))
	for key := range p.dirty {
		keys = append(keys, key)
	}
	clear(p.dirty)
	slices.Sort(keys)
	return keys
}

// change is what is to be written of a key.
type change struct {
	publishedEntry
	key     string
	present bool
	row     rowstore.Row
}

// changes returns what has to be written of keys.
func (p *Publisher) changes(keys []string) []change {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []change
	for _, key := range keys {
		content, revision, present := p.config.Source.Entry(key)
		before, written := p.published[key]
		if present == written && string(content) == before.content {
			continue
		}
		c := change{key: key, present: present, row: rowstore.Row{RowID: entryID(p.config.Source.Name, key)}}
		if present {
			c.publishedEntry = p.entry(key, content)
			c.row.Value = encode(entry{Revision: revision, Content: content})
		}
		found = append(found, c)
	}
	return found
}

// write writes what has changed, and with the last of it that the digest is whole up to a
// moment.
func (p *Publisher) write(ctx context.Context, left []change, reached rowstore.Moment) {
	// The proof takes a condition and a put.
	most := max(p.config.TransactionRows-2, 1)
	for {
		part := left[:min(len(left), most)]
		if !p.commit(ctx, part, reached, len(part) == len(left)) {
			for _, c := range left {
				p.Touch(c.key)
			}
			return
		}
		left = left[len(part):]
		if len(left) == 0 {
			return
		}
	}
}

// commit writes a part of the changes and tells whether it is done.
func (p *Publisher) commit(ctx context.Context, part []change, reached rowstore.Moment, last bool) bool {
	next := p.proof
	next.Round++
	next.Unfinished, next.Sum = !last, nil
	if last {
		next.Reached = map[string]rowstore.Moment{p.config.Source.Name: reached}
		next.Sum = p.sumWith(part)
	}
	transaction := rowstore.Transaction{
		Conditions: []rowstore.Condition{{RowID: proofID(), Revision: p.revision}},
		Puts:       []rowstore.Row{{RowID: proofID(), Value: encode(next)}},
	}
	for _, c := range part {
		if c.present {
			transaction.Puts = append(transaction.Puts, c.row)
		} else {
			transaction.Deletes = append(transaction.Deletes, c.row.RowID)
		}
	}
	written, err := p.config.Store.Commit(ctx, transaction)
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		p.proof, p.revision, p.wrote = next, written, time.Now()
		p.noteWritten(part)
		return true
	case errors.As(err, &conflict):
		if !p.adopt(conflict, next.Round) {
			p.stepDown("the proof is another one")
		}
	case errors.Is(err, rowstore.ErrUnknown):
		p.noteUncertain(part)
	}
	return false
}

// sumWith returns the sum of the digest once changes are written, nil if it is not known.
func (p *Publisher) sumWith(part []change) *uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := make(map[string]bool, len(part))
	sum := uint64(0)
	for _, c := range part {
		changed[c.key] = true
		if c.present {
			sum += c.sum
		}
	}
	for key, held := range p.published {
		switch {
		case changed[key]:
		case held.content == uncertain:
			return nil
		default:
			sum += held.sum
		}
	}
	return &sum
}

// adopt takes the proof of a conflict if it is that of a write of this process in a round
// whose answer was lost, and tells so.
func (p *Publisher) adopt(conflict *rowstore.ConflictError, round int64) bool {
	for _, row := range conflict.Rows {
		proof, err := decodeProof(row.Value)
		own := err == nil && proof.Publisher == p.config.Self && proof.Incarnation == p.config.Incarnation
		if row.RowID == proofID() && own && proof.Round == round {
			p.proof, p.revision = proof, row.Revision
			return true
		}
	}
	return false
}

// noteUncertain notes that it is not known whether changes were written.
func (p *Publisher) noteUncertain(part []change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range part {
		p.published[c.key] = publishedEntry{content: uncertain}
	}
}

func (p *Publisher) noteWritten(part []change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range part {
		if c.present {
			p.published[c.key] = c.publishedEntry
		} else {
			delete(p.published, c.key)
		}
	}
}
