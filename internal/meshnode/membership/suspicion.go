package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// plainObservers are kept whoever they are; beyond them an observer must be
	// the first of a second zone, or the first of the suspect's own region.
	plainObservers = 3
	// soleObserverFactor lengthens the time to refute where there is but one
	// other member, whose own link may be what failed.
	soleObserverFactor = 2
)

// suspect records observations of this node and its helpers.
func (m *Machine) suspect(now time.Time, target *entry, observers []string) {
	m.apply(now, m.self.Name, Update{Name: target.Name, Incarnation: target.Incarnation, Refutation: target.refutation, State: StateSuspect, Observers: observers})
}

// addObservers merges the observers of a suspicion and passes them on if they
// add to its weight.
func (m *Machine) addObservers(suspect *entry, observers []string) {
	merged := slices.Clone(suspect.observers)
	for _, name := range observers {
		if !slices.Contains(merged, name) && m.addsWeight(suspect, merged, name) {
			merged = append(merged, name)
		}
	}
	if len(merged) == len(suspect.observers) {
		return
	}
	suspect.observers = merged
	m.version++
	m.news.put(suspect.update())
}

// considerConfirming makes this node probe a suspect of which it was told, by a
// chance that makes a few nodes do so however many there are.
func (m *Machine) considerConfirming(suspect *entry) {
	if m.random.IntN(len(m.liveNames())+1) < m.cfg.Confirmers {
		m.confirming = append(m.confirming, suspect.Name)
	}
}

// voidSuspicions takes back the suspicions of a region's members that arose
// while the region was cut off: they were about the link.
func (m *Machine) voidSuspicions(now time.Time, region string) {
	for _, name := range slices.Sorted(maps.Keys(m.suspects)) {
		suspect := m.suspects[name]
		if suspect.Region == region {
			m.transition(now, m.self.Name, suspect, Update{Refutation: suspect.refutation, State: StateAlive})
			m.news.drop(name)
		}
	}
}

func (m *Machine) addsWeight(suspect *entry, present []string, name string) bool {
	observer := m.members[name]
	if observer == nil {
		return false
	}
	if len(present) < plainObservers {
		return true
	}
	newZone, newInside := true, observer.Region == suspect.Region
	zones := map[string]bool{}
	for _, other := range present {
		if known := m.members[other]; known != nil {
			zones[known.Zone] = true
			newZone = newZone && known.Zone != observer.Zone
			newInside = newInside && known.Region != suspect.Region
		}
	}
	return newZone && len(zones) == 1 || newInside
}

// judgeSuspects declares dead those whose time to refute is over and whose
// observers suffice.
func (m *Machine) judgeSuspects(now time.Time) {
	if len(m.suspects) == 0 {
		return
	}
	timeout := m.cfg.suspicionTimeout(len(m.liveNames()))
	for _, name := range slices.Sorted(maps.Keys(m.suspects)) {
		suspect := m.suspects[name]
		age := m.elapsed(now, suspect.since)
		if age < timeout || m.regionUnreached(suspect.Region) {
			continue
		}
		sole := len(m.liveNames()) == 1
		if m.confirmed(suspect) || sole && age >= soleObserverFactor*timeout {
			m.setState(now, m.self.Name, suspect, Update{Name: name, Incarnation: suspect.Incarnation, Refutation: suspect.refutation, State: StateDead, Observers: suspect.observers})
		}
	}
}

// confirmed tells whether independent observers suspect the member: two at
// least, in distinct zones if the members' zones allow it, and one of them in
// the suspect's own region if there are others in it. The last tells a crash
// from a cut between regions.
func (m *Machine) confirmed(suspect *entry) bool {
	observers, inside := 0, false
	zones := map[string]bool{}
	for _, name := range suspect.observers {
		observer := m.members[name]
		if observer == nil || observer == suspect || observer.state.gone() {
			continue
		}
		observers++
		zones[observer.Zone] = true
		inside = inside || observer.Region == suspect.Region
	}
	counted := m.count()
	possibleZones := len(counted.zones)
	if counted.zones[suspect.Zone] == 1 {
		possibleZones--
	}
	needsInside := counted.regions[suspect.Region].known > 1
	return observers >= 2 && len(zones) >= min(2, possibleZones) && (inside || !needsInside)
}
