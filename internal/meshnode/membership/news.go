package membership

import (
	"container/heap"
	"time"
)

// newsQueue holds the updates that are still to be passed on, one for a member:
// a heap with the update on top that was passed on least, the newest of those.
type newsQueue struct {
	byName map[string]*newsItem
	items  newsHeap
	order  uint64
}

type newsItem struct {
	update    Update
	transmits int
	order     uint64
	index     int
}

func newNewsQueue() *newsQueue { return &newsQueue{byName: map[string]*newsItem{}} }

// put queues an update in the place of an older one about the same member.
func (q *newsQueue) put(update Update) {
	q.drop(update.Name)
	q.order++
	item := &newsItem{update: update, order: q.order}
	q.byName[update.Name] = item
	heap.Push(&q.items, item)
}

func (q *newsQueue) drop(name string) {
	if item := q.byName[name]; item != nil {
		delete(q.byName, name)
		heap.Remove(&q.items, item.index)
	}
}

func (q *newsQueue) has(name string) bool { return q.byName[name] != nil }

func (q *newsQueue) empty() bool { return len(q.items) == 0 }

// take returns the updates that were passed on least and drops those that reach
// the limit.
func (q *newsQueue) take(count, limit int) []Update {
	if count <= 0 || q.empty() {
		return nil
	}
	taken := make([]*newsItem, 0, min(count, len(q.items)))
	for len(taken) < cap(taken) {
		taken = append(taken, heap.Pop(&q.items).(*newsItem))
	}
	updates := make([]Update, 0, len(taken))
	for _, item := range taken {
		updates = append(updates, item.update)
		item.transmits++
		if item.transmits < limit {
			heap.Push(&q.items, item)
		} else {
			delete(q.byName, item.update.Name)
		}
	}
	return updates
}

// newsHeap implements heap.Interface.
type newsHeap []*newsItem

func (h newsHeap) Len() int { return len(h) }

func (h newsHeap) Less(i, j int) bool {
	if h[i].transmits != h[j].transmits {
		return h[i].transmits < h[j].transmits
	}
	return h[i].order > h[j].order
}

func (h newsHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *newsHeap) Push(x any) {
	item := x.(*newsItem)
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *newsHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return item
}

// heartbeat returns the common part of a message, with news.
func (m *Machine) heartbeat(now time.Time, to string) Heartbeat {
	return Heartbeat{
		To:          to,
		Incarnation: m.self.Incarnation,
		Refutation:  m.self.refutation,
		Digest:      m.digest,
		Heard:       m.heardFor(now, to),
		Updates:     m.updatesFor(now, to),
	}
}

// updatesFor puts first what the receiver must know: who this node is, if they
// have not spoken yet, and that the receiver is held suspect or dead, so that
// it can refute.
func (m *Machine) updatesFor(now time.Time, to string) []Update {
	var updates []Update
	receiver := m.members[to]
	if m.mustIntroduce(now, receiver) {
		updates = append(updates, m.self.updateWithIdentity())
	}
	if receiver != nil && receiver.state != StateAlive {
		updates = append(updates, receiver.update())
	}
	limit := m.cfg.retransmits(len(m.liveNames()))
	return append(updates, m.news.take(m.cfg.UpdatesPerMessage-len(updates), limit)...)
}

// mustIntroduce tells whether the receiver may not know this node.
func (m *Machine) mustIntroduce(now time.Time, receiver *entry) bool {
	if receiver == nil || receiver.state != StateAlive {
		return true
	}
	young := now.Sub(m.self.since) < introductionTime || now.Sub(receiver.since) < introductionTime
	return receiver.heardAt.IsZero() && young
}

// gossip passes news on to a few random members.
func (m *Machine) gossip(now time.Time) []Envelope {
	var out []Envelope
	for range m.cfg.GossipFanout {
		if m.news.empty() {
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
