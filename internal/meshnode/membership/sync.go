package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// syncBuckets is the number of groups that names are split into, so that two
// views that differ in one member exchange the versions of few.
const syncBuckets = 16

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % syncBuckets) }

func (e *entry) hash() uint64 {
	buffer := make([]byte, 0, len(e.Name)+16)
	buffer = append(buffer, e.Name...)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(e.Incarnation))
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(e.refutation))
	return xxhash.Sum64(buffer)
}

// bucketHashes covers the members that are not gone. Members that are gone
// would make views differ for as long as nodes forget them at different times.
func (m *Machine) bucketHashes() []uint64 {
	hashes := make([]uint64, syncBuckets)
	for name, member := range m.members {
		if !member.state.gone() {
			hashes[bucketOf(name)] ^= member.hash()
		}
	}
	return hashes
}

func (m *Machine) viewHash() uint64 {
	var buffer []byte
	for _, hash := range m.bucketHashes() {
		buffer = binary.BigEndian.AppendUint64(buffer, hash)
	}
	return xxhash.Sum64(buffer)
}

// syncInterval is short for a node that has just started.
func (m *Machine) syncInterval(now time.Time) time.Duration {
	interval := m.cfg.SyncInterval
	if now.Sub(m.self.since) < introductionTime {
		interval /= syncAgainDivisor
	}
	return interval/2 + m.jitter(interval)
}

func (m *Machine) startSync(now time.Time) []Envelope {
	target := m.randomAlive()
	if target == nil || m.leaving {
		return nil
	}
	return []Envelope{m.envelope(target, Sync{Heartbeat: m.heartbeat(now, target.Name), Hash: m.viewHash()})}
}

func (m *Machine) onSync(now time.Time, from string, sync Sync) []Envelope {
	sender := m.members[from]
	if sender == nil || sync.Hash == m.viewHash() {
		return nil
	}
	return []Envelope{m.envelope(sender, Buckets{Heartbeat: m.heartbeat(now, from), Hashes: m.bucketHashes()})}
}

func (m *Machine) onBuckets(now time.Time, from string, buckets Buckets) []Envelope {
	own := m.bucketHashes()
	sender := m.members[from]
	if sender == nil || len(buckets.Hashes) != len(own) {
		return nil
	}
	entries := Entries{Heartbeat: m.heartbeat(now, from)}
	for bucket, hash := range own {
		if hash != buckets.Hashes[bucket] {
			entries.Buckets = append(entries.Buckets, bucket)
		}
	}
	if len(entries.Buckets) == 0 {
		return nil
	}
	for _, member := range m.inBuckets(entries.Buckets) {
		entries.Versions = append(entries.Versions, member.version())
	}
	return []Envelope{m.envelope(sender, entries)}
}

// inBuckets returns the members that are not gone, in name order.
func (m *Machine) inBuckets(buckets []int) []*entry {
	var found []*entry
	if !m.self.state.gone() && slices.Contains(buckets, bucketOf(m.self.Name)) {
		found = append(found, m.self)
	}
	for _, name := range m.liveNames() {
		if slices.Contains(buckets, bucketOf(name)) {
			found = append(found, m.members[name])
		}
	}
	return found
}

func (m *Machine) onEntries(now time.Time, from string, entries Entries) []Envelope {
	sender := m.members[from]
	if sender == nil {
		return nil
	}
	delta := Delta{Heartbeat: m.heartbeat(now, from)}
	listed := map[string]bool{}
	for _, theirs := range entries.Versions {
		listed[theirs.Name] = true
		own := m.members[theirs.Name]
		switch {
		case own == nil || older(own.version(), theirs):
			delta.Want = append(delta.Want, theirs.Name)
		case older(theirs, own.version()) || own.state.gone():
			delta.Records = append(delta.Records, own.updateWithIdentity())
		}
	}
	for _, own := range m.inBuckets(entries.Buckets) {
		if !listed[own.Name] {
			delta.Records = append(delta.Records, own.updateWithIdentity())
		}
	}
	return m.deltaEnvelope(sender, delta)
}

// older tells whether a is an earlier version than b.
func older(a, b Version) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Refutation < b.Refutation
}

// onDelta merges records and answers with those asked for, and with the own
// record of members that the sender did not know to be gone.
func (m *Machine) onDelta(now time.Time, from string, delta Delta) []Envelope {
	sender := m.members[from]
	if sender == nil {
		return nil
	}
	answer := Delta{Heartbeat: m.heartbeat(now, from)}
	if len(delta.Records) > 0 {
		again := m.cfg.SyncInterval / syncAgainDivisor
		m.nextSync = earlier(m.nextSync, now.Add(again+m.jitter(again)))
	}
	for _, record := range delta.Records {
		m.applyFromSync(now, from, record)
		own := m.members[record.Name]
		if own != nil && own.state.gone() && !record.State.gone() {
			answer.Records = append(answer.Records, own.updateWithIdentity())
		}
	}
	for _, name := range delta.Want {
		if own := m.members[name]; own != nil {
			answer.Records = append(answer.Records, own.updateWithIdentity())
		}
	}
	return m.deltaEnvelope(sender, answer)
}

// applyFromSync merges a record without passing it on, save the sender's own.
// Syncs spread by themselves what they bring, and a node that has just started
// has no news to tell of all others.
func (m *Machine) applyFromSync(now time.Time, from string, record Update) {
	queued := m.news.has(record.Name)
	m.apply(now, from, record)
	if !queued && record.Name != from && record.Name != m.self.Name {
		m.news.drop(record.Name)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (m *Machine) deltaEnvelope(to *entry, delta Delta) []Envelope {
	if len(delta.Records) == 0 && len(delta.Want) == 0 {
		return nil
	}
	return []Envelope{m.envelope(to, delta)}
}
