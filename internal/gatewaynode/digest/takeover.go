package digest

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// mayTakeOver tells whether this node is so far ahead of what is published that it is its
// turn to publish.
func (p *Publisher) mayTakeOver(reached rowstore.Moment, now time.Time) bool {
	standing, known := p.config.Follower.Standing()
	if !known {
		return false
	}
	rank := p.config.Rank(standing.Proof.Publisher, now)
	if rank < 0 {
		return false
	}
	if standing.Revision > 0 && p.waitsForPublisher(rank, now) {
		return false
	}
	// One that has just taken over reads the digest before it writes, and what it writes then
	// takes many transactions; replacing it meanwhile would only begin that anew.
	since := max(standing.Proof.Reached[p.config.Source.Name].Taken, standing.BusyTaken)
	if since == 0 {
		since = standing.FirstTaken
	}
	lead := time.Duration(reached.Taken-since) * time.Millisecond
	if standing.Revision == 0 {
		return lead > p.config.Timing.stagger(rank)
	}
	return lead > p.config.Timing.takeOverAfter(rank)
}

// waitsForPublisher tells whether an outage that the publisher had as well, as far as is known,
// ended so lately that it cannot be blamed for being behind.
func (p *Publisher) waitsForPublisher(rank int, now time.Time) bool {
	lasted, ended := p.config.Source.Outage()
	return lasted > p.config.Timing.takeOverAfter(0) && now.Sub(ended) <= p.config.Timing.takeOverAfter(rank)
}

// takeOver makes this node the publisher: from the write of the proof on nobody else can
// write, so that what is read then is what the digest holds.
func (p *Publisher) takeOver(ctx context.Context) {
	standing, _ := p.config.Follower.Standing()
	next := standing.Proof
	next.Format, next.Publisher, next.Incarnation, next.Round = Format, p.config.Self, p.config.Incarnation, 1
	// It proves nothing until this node has read the digest and written what it lacks.
	next.Unfinished, next.Sum = true, nil
	if next.Reached == nil {
		next.Reached = map[string]rowstore.Moment{}
	}
	written, err := p.config.Store.Commit(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{RowID: proofID(), Revision: standing.Revision}},
		Puts:       []rowstore.Row{{RowID: proofID(), Value: encode(next)}},
	})
	if err != nil {
		// Another node was faster, or the store did not answer; then what is not certain
		// is found out by the follower's view.
		return
	}
	p.claim(next, written)
	rows, err := p.readDigest(ctx)
	switch {
	case !p.Active():
		// Another node has taken the publishing over meanwhile.
		return
	case err != nil:
		p.stepDown("digest not read: " + err.Error())
		return
	}
	p.begin(rows)
	p.config.Log.Warn(eventlog.DigestTaken, eventlog.Fields{
		eventlog.Table: p.config.Source.Name, "before": standing.Proof.Publisher, eventlog.Count: len(rows), eventlog.Revision: written,
	})
}

// claim notes that this node is the publisher by the proof that it has written.
func (p *Publisher) claim(proof Proof, revision int64) {
	p.proof, p.revision, p.wrote = proof, revision, time.Time{}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active, p.dirty, p.published = true, make(map[string]bool), make(map[string]publishedEntry)
}

// readDigest returns what the digest holds. It renews the claim of this node meanwhile: others
// would take the publishing over from it while it reads, and each of them begin that anew. A
// reading that takes longer than a digest may be old is left to them.
func (p *Publisher) readDigest(ctx context.Context) ([]rowstore.Row, error) {
	bounded, cancel := context.WithTimeout(ctx, p.config.Timing.readMost())
	defer cancel()
	var rows []rowstore.Row
	var err error
	read := make(chan struct{})
	go func() {
		defer close(read)
		prefix := p.config.Source.Name + "/"
		rows, _, err = rowstore.ListAll(bounded, p.config.Store, Table, Partition, prefix, rowstore.KeyEnd(prefix))
	}()
	renewal := time.NewTicker(p.config.Timing.proofEvery())
	defer renewal.Stop()
	for {
		select {
		case <-read:
			return rows, err
		case <-renewal.C:
		}
		p.commit(ctx, nil, rowstore.Moment{}, false)
		if !p.Active() {
			cancel()
			<-read
			return nil, context.Canceled
		}
	}
}

// begin starts publishing from what the digest holds.
func (p *Publisher) begin(rows []rowstore.Row) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range rows {
		_, key, _ := splitKey(row.Key)
		var held entry
		if err := json.Unmarshal(row.Value, &held); err != nil {
			p.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: Table, eventlog.Key: row.Key, eventlog.Cause: err.Error()})
			p.published[key] = publishedEntry{content: uncertain}
			continue
		}
		p.published[key] = p.entry(key, held.Content)
	}
	p.dirtyAll()
}
