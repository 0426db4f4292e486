package membership

import (
	"slices"
	"time"
)

// apply merges news about a member and queues it to be passed on if it is news
// to this node. Of two statements the one with the larger incarnation wins,
// then the larger refutation, then the worse state; left is final for an
// incarnation.
func (m *Machine) apply(now time.Time, source string, update Update) {
	if !update.wellFormed() {
		return
	}
	if update.Name == m.self.Name {
		m.applyToSelf(source, update)
		return
	}
	known := m.members[update.Name]
	if known == nil {
		m.add(now, source, update)
		return
	}
	if update.State == StateSuspect && m.regionUnreached(known.Region) {
		// The silence of the region as a whole says it all.
		return
	}
	switch {
	case update.Incarnation < known.Incarnation:
	case update.Incarnation > known.Incarnation:
		m.replace(now, source, known, update)
	case m.supersedes(update, known):
		m.setState(now, source, known, update)
	case update.State == StateSuspect && known.state == StateSuspect && update.Refutation == known.refutation:
		m.addObservers(known, update.Observers)
	}
}

// supersedes compares statements about the same incarnation.
func (m *Machine) supersedes(update Update, known *entry) bool {
	if known.state == StateLeft {
		return false
	}
	if update.State == StateLeft {
		return true
	}
	if update.Refutation != known.refutation {
		return update.Refutation > known.refutation
	}
	return update.State.rank() > known.state.rank()
}

// wellFormed refuses states of later versions of the protocol and members that
// cannot be reached.
func (u Update) wellFormed() bool {
	switch u.State {
	case StateAlive, StateSuspect, StateDead, StateLeft:
	default:
		return false
	}
	return u.Name != "" && (u.Identity == nil || u.Identity.PeerAddress != "")
}

// applyToSelf refutes what is not true of this node.
func (m *Machine) applyToSelf(source string, update Update) {
	if update.Incarnation > m.self.Incarnation {
		m.supersede(source, update)
		return
	}
	wrong := update.State == StateSuspect || update.State == StateDead
	if update.Incarnation < m.self.Incarnation || !wrong || update.Refutation < m.self.refutation || m.leaving {
		return
	}
	m.self.refutation = update.Refutation + 1
	m.version++
	m.news.put(m.self.updateWithIdentity())
}

// supersede notes that there is a later process of this node's name.
func (m *Machine) supersede(source string, update Update) {
	if update.Incarnation <= m.superseded {
		return
	}
	m.superseded = update.Incarnation
	m.version++
	m.changes = append(m.changes, Change{Member: update.Name, Incarnation: update.Incarnation, State: update.State, Source: source})
}

// add takes up a member that was not known. The end of one is no news then; it
// was forgotten here, and taking it up again would keep it going round for ever.
func (m *Machine) add(now time.Time, source string, update Update) {
	if update.Identity == nil || update.State.gone() {
		return
	}
	member := &entry{Identity: *update.Identity, state: StateAlive}
	member.Name = update.Name
	member.Incarnation = update.Incarnation
	m.members[update.Name] = member
	m.knowRegion(now, member.Region)
	m.transition(now, source, member, update)
	m.news.put(member.updateWithIdentity())
}

// replace takes a later process of a known member's name.
func (m *Machine) replace(now time.Time, source string, known *entry, update Update) {
	if update.Identity == nil && !update.State.gone() {
		// Its addresses may have changed; a sync brings the whole record.
		return
	}
	identity := known.Identity
	if update.Identity != nil {
		identity = *update.Identity
	}
	identity.Name = known.Name
	identity.Incarnation = update.Incarnation
	known.Identity = identity
	known.since = time.Time{}
	known.heardAt = time.Time{}
	known.digest = 0
	m.knowRegion(now, identity.Region)
	m.transition(now, source, known, update)
	m.news.put(known.updateWithIdentity())
}

// setState takes a statement that wins over what is known of the incarnation.
func (m *Machine) setState(now time.Time, source string, known *entry, update Update) {
	m.transition(now, source, known, update)
	m.news.put(known.update())
	if known.state == StateSuspect && source != m.self.Name {
		m.considerConfirming(known)
	}
}

// transition changes the entry and the indexes.
func (m *Machine) transition(now time.Time, source string, member *entry, update Update) {
	if member.since.IsZero() || member.state.gone() != update.State.gone() {
		m.census = nil
	}
	fresh := member.since.IsZero() || member.state != update.State
	if fresh {
		member.since = now
		member.source = source
	}
	member.refutation = update.Refutation
	member.state = update.State
	member.observers = slices.Clone(update.Observers)
	delete(m.suspects, member.Name)
	delete(m.gone, member.Name)
	switch member.state {
	case StateSuspect:
		m.suspects[member.Name] = member
	case StateDead, StateLeft:
		m.gone[member.Name] = member
	}
	m.version++
	if fresh {
		m.changes = append(m.changes, Change{Member: member.Name, Incarnation: member.Incarnation, State: member.state, Source: source, Observers: member.observers})
	}
}

// forgetGone forgets members that have been dead or left for long.
func (m *Machine) forgetGone(now time.Time) {
	for name, member := range m.gone {
		if now.Sub(member.since) >= m.cfg.Retention {
			delete(m.gone, name)
			delete(m.members, name)
			m.news.drop(name)
			m.version++
			m.census = nil
		}
	}
}

// census counts members; it is rebuilt after a change.
type census struct {
	// live are the names of other members that are not gone, sorted.
	live []string
	// zones counts members that are not gone, self included.
	zones map[string]int
	// regions counts the same, and all but those that left.
	regions map[string]regionCount
}

type regionCount struct{ live, known int }

func (m *Machine) count() *census {
	if m.census != nil {
		return m.census
	}
	c := &census{zones: map[string]int{}, regions: map[string]regionCount{}}
	for name, member := range m.members {
		region := c.regions[member.Region]
		if member.state != StateLeft {
			region.known++
		}
		if !member.state.gone() {
			region.live++
			c.zones[member.Zone]++
			if member != m.self {
				c.live = append(c.live, name)
			}
		}
		c.regions[member.Region] = region
	}
	slices.Sort(c.live)
	m.census = c
	return c
}

func (m *Machine) liveNames() []string { return m.count().live }
