package membership

import (
	"cmp"
	"slices"
	"time"
)

// newsQueue holds the updates that are still to be passed on, one for a member.
type newsQueue struct {
	items map[string]*newsItem
	order uint64
}

type newsItem struct {
	update    Update
	transmits int
	order     uint64
}

func newNewsQueue() *newsQueue { return &newsQueue{items: map[string]*newsItem{}} }

// put queues an update in the place of an older one about the same member.
func (q *newsQueue) put(update Update) {
	q.order++
	q.items[update.Name] = &newsItem{update: update, order: q.order}
}

func (q *newsQueue) drop(name string) { delete(q.items, name) }

func (q *newsQueue) has(name string) bool { return q.items[name] != nil }

// take returns the updates that were passed on least, newest first, and drops
// those that reach the limit.
func (q *newsQueue) take(count, limit int) []Update {
	if len(q.items) == 0 || count <= 0 {
		return nil
	}
	items := make([]*newsItem, 0, len(q.items))
	for _, item := range q.items {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b *newsItem) int {
		return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(b.order, a.order))
	})
	items = items[:min(count, len(items))]
	updates := make([]Update, 0, len(items))
	for _, item := range items {
		updates = append(updates, item.update)
		item.transmits++
		if item.transmits >= limit {
			delete(q.items, item.update.Name)
		}
	}
	return updates
}

// heartbeat returns the common part of a message, with news.
func (m *Machine) heartbeat(now time.Time, to string) Heartbeat {
	return Heartbeat{
		To:          to,
		Incarnation: m.self.Incarnation,
		Refutation:  m.self.refutation,
		Digest:      m.digest,
		Heard:       m.heardFor(now, to),
		Updates:     m.updatesFor(to),
	}
}

// updatesFor puts first what the receiver must know: who this node is, if they
// have not spoken yet, and that the receiver is held suspect or dead, so that
// it can refute.
func (m *Machine) updatesFor(to string) []Update {
	var updates []Update
	receiver := m.members[to]
	if receiver == nil || receiver.heardAt.IsZero() || receiver.state != StateAlive {
		updates = append(updates, m.self.updateWithIdentity())
	}
	if receiver != nil && receiver.state != StateAlive {
		updates = append(updates, receiver.update())
	}
	limit := m.cfg.retransmits(len(m.liveNames()))
	return append(updates, m.news.take(m.cfg.UpdatesPerMessage-len(updates), limit)...)
}

// gossip passes news on to a few random members.
func (m *Machine) gossip(now time.Time) []Envelope {
	var out []Envelope
	for range m.cfg.GossipFanout {
		if len(m.news.items) == 0 {
			break
		}
		if target := m.randomAlive(); target != nil {
			out = append(out, m.envelope(target, Gossip{m.heartbeat(now, target.Name)}))
		}
	}
	return out
}

// randomAlive returns a random member that is likely to listen, mostly of the
// own region, or nil.
func (m *Machine) randomAlive() *entry {
	const attempts = 8
	names := m.liveNames()
	if len(names) == 0 {
		return nil
	}
	ownRegionOnly := m.cfg.CrossRegionEvery > 1 && m.random.IntN(m.cfg.CrossRegionEvery) != 0
	var fallback *entry
	for range attempts {
		member := m.members[names[m.random.IntN(len(names))]]
		if !m.listens(member) {
			continue
		}
		if !ownRegionOnly || member.Region == m.self.Region {
			return member
		}
		fallback = member
	}
	return fallback
}

// listens tells whether messages to the member are likely to arrive.
func (m *Machine) listens(member *entry) bool {
	return member.state == StateAlive && !m.regionUnreached(member.Region)
}
