package claim

import "time"

// ticketValidity is how long an heir accepts a hand-over after it gave the
// ticket for it.
const ticketValidity = 10 * time.Second

// HandedEntry is one register of a replica that stops.
type HandedEntry struct {
	Key    string  `json:"key"`
	Holder Token   `json:"holder"`
	Record *Record `json:"record,omitempty"`
}

// TicketRequest announces a HandOver. Only a running incarnation sends it, so
// the heir knows a time at which no successor had begun.
type TicketRequest struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
}

// TicketResponse answers a TicketRequest.
type TicketResponse struct {
	Ticket string `json:"ticket"`
}

// HandOver gives all registers of a replica that has ceased to vote to an heir.
type HandOver struct {
	Name        string        `json:"name"`
	Incarnation int64         `json:"incarnation"`
	Ticket      string        `json:"ticket"`
	Entries     []HandedEntry `json:"entries"`
}

// HandOverResponse answers a HandOver.
type HandOverResponse struct {
	Accepted bool `json:"accepted"`
}

// RecoverRequest asks for what an earlier incarnation of the node handed over.
type RecoverRequest struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
}

// RecoverResponse answers a RecoverRequest.
type RecoverResponse struct {
	Found   bool          `json:"found"`
	Entries []HandedEntry `json:"entries,omitempty"`
}

// Heir keeps what stopping replicas hand over until their successors ask. It
// gives each hand-over to one incarnation only, because what that one grants
// afterwards is not part of it. And it gives it only while no other incarnation
// can have voted in between: one that did not get the hand-over abstains for
// Retention from its start, which is later than the ticket.
type Heir struct {
	retention time.Duration
	legacies  map[string]*legacy
}

// legacy is a hand-over, or the ticket for one.
type legacy struct {
	incarnation int64
	ticket      string
	issuedAt    time.Time
	accepted    bool
	takenBy     int64
	entries     []HandedEntry
}

// NewHeir returns an heir that holds nothing.
func NewHeir(retention time.Duration) *Heir {
	return &Heir{retention: retention, legacies: make(map[string]*legacy)}
}

// Ticket allows a hand-over under the given fresh ticket, in place of an earlier
// one of the same node.
func (h *Heir) Ticket(request TicketRequest, ticket string, now time.Time) {
	h.expire(now)
	h.legacies[request.Name] = &legacy{incarnation: request.Incarnation, ticket: ticket, issuedAt: now}
}

// Accept takes a hand-over and tells whether the heir holds it.
func (h *Heir) Accept(handOver HandOver, now time.Time) bool {
	h.expire(now)
	held, ok := h.legacies[handOver.Name]
	if !ok || held.ticket != handOver.Ticket || held.incarnation != handOver.Incarnation {
		return false
	}
	if held.accepted {
		return true
	}
	if now.Sub(held.issuedAt) >= ticketValidity {
		return false
	}
	held.accepted = true
	held.entries = handOver.Entries
	return true
}

// Recover gives a hand-over to the first incarnation that asks, as often as it
// asks.
func (h *Heir) Recover(request RecoverRequest, now time.Time) ([]HandedEntry, bool) {
	h.expire(now)
	held, ok := h.legacies[request.Name]
	if !ok || !held.accepted || held.incarnation == request.Incarnation {
		return nil, false
	}
	if held.takenBy != 0 && held.takenBy != request.Incarnation {
		return nil, false
	}
	held.takenBy = request.Incarnation
	return held.entries, true
}

// expire drops what is too old, with half of the time as a margin for clocks
// that run at different rates.
func (h *Heir) expire(now time.Time) {
	for name, held := range h.legacies {
		if now.Sub(held.issuedAt) >= h.retention/2 {
			delete(h.legacies, name)
		}
	}
}

// Seal ends the replica's voting for good and returns its registers, and false
// if it may have forgotten some.
func (r *Replica) Seal(now time.Time) ([]HandedEntry, bool) {
	r.expire(now)
	complete := r.Votes(now)
	r.sealed = true
	if !complete {
		return nil, false
	}
	entries := make([]HandedEntry, 0, len(r.entries))
	for key, held := range r.entries {
		entries = append(entries, HandedEntry{Key: key, Holder: held.holder, Record: held.record})
	}
	return entries, true
}

// Adopt takes the registers of the incarnation before, all of them, which lets
// the replica vote. They are kept for as long as new ones.
func (r *Replica) Adopt(entries []HandedEntry, now time.Time) {
	if r.recovered {
		return
	}
	r.recovered = true
	for _, entry := range entries {
		if _, known := r.entries[entry.Key]; known {
			continue
		}
		written := r.write(entry.Key, entry.Holder, now)
		if entry.Record != nil {
			written.record = r.keep(*entry.Record)
		}
	}
}
