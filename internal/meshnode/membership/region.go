package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// unreachedSuspects of a region must be suspect, fewer if it has fewer
	// members, before its silence counts.
	unreachedSuspects = 2
	maxHeardRegions   = 8
)

// regionRecord is what a Machine holds of a region other than its own.
type regionRecord struct {
	knownSince     time.Time
	heardAt        time.Time
	heardBy        string
	unreached      bool
	unreachedSince time.Time
}

// silence is the time without word from the region.
func (m *Machine) silence(now time.Time, r *regionRecord) time.Duration {
	if r.heardAt.IsZero() {
		return m.elapsed(now, r.knownSince)
	}
	return m.elapsed(now, r.heardAt)
}

func (m *Machine) knowRegion(now time.Time, region string) {
	if m.regions[region] == nil && region != m.self.Region {
		m.regions[region] = &regionRecord{knownSince: now}
	}
}

// hearRegion notes that the node named by heard the region.
func (m *Machine) hearRegion(now time.Time, region string, at time.Time, by string) {
	record := m.regions[region]
	if record == nil || !at.After(record.heardAt) {
		return
	}
	record.heardAt = at
	record.heardBy = by
	if record.unreached && now.Sub(at) < m.cfg.RegionSilence {
		m.setUnreached(now, region, false)
		m.voidSuspicions(now, region)
	}
}

// mergeHeard takes what other nodes know. The age stands for an instant of the
// sender's clock; the time in transit makes it look younger by that much.
func (m *Machine) mergeHeard(now time.Time, heard []RegionHeard) {
	for _, h := range heard {
		if h.AgeMS >= 0 {
			m.hearRegion(now, h.Region, now.Add(-time.Duration(h.AgeMS)*time.Millisecond), h.By)
		}
	}
}

// heardFor returns what the receiver may not know about regions that are
// neither end's own.
func (m *Machine) heardFor(now time.Time, to string) []RegionHeard {
	var heard []RegionHeard
	receiver := m.members[to]
	for _, region := range slices.Sorted(maps.Keys(m.regions)) {
		record := m.regions[region]
		if record.heardAt.IsZero() || receiver != nil && receiver.Region == region || len(heard) == maxHeardRegions {
			continue
		}
		heard = append(heard, RegionHeard{Region: region, AgeMS: now.Sub(record.heardAt).Milliseconds(), By: record.heardBy})
	}
	return heard
}

func (m *Machine) regionUnreached(region string) bool {
	record := m.regions[region]
	return record != nil && record.unreached
}

// judgeRegions takes a region for unreached when several of its members are
// suspect and nobody on this side has heard any of them for a while. A region
// of one member is judged as a member alone.
func (m *Machine) judgeRegions(now time.Time) {
	if len(m.suspects) == 0 && !m.anyUnreached() {
		return
	}
	var suspects map[string]int
	for _, name := range slices.Sorted(maps.Keys(m.regions)) {
		record := m.regions[name]
		count := m.count().regions[name]
		if record.unreached {
			if count.live == 0 {
				m.setUnreached(now, name, false)
			}
			continue
		}
		if m.silence(now, record) < m.cfg.RegionSilence || count.known < 2 || count.live == 0 {
			continue
		}
		if suspects == nil {
			suspects = m.suspectsByRegion()
		}
		if suspects[name] >= min(unreachedSuspects, count.live) {
			m.setUnreached(now, name, true)
		}
	}
}

// considerRegion makes this node probe one more member of a region that has
// been silent, where too few are suspect to tell a cut from a crash.
func (m *Machine) considerRegion(now time.Time, region string) {
	record := m.regions[region]
	if record == nil || record.unreached || m.silence(now, record) < m.cfg.Period || m.suspectsByRegion()[region] >= unreachedSuspects {
		return
	}
	var others []string
	for _, name := range m.liveNames() {
		if member := m.members[name]; member.Region == region && member.state == StateAlive {
			others = append(others, name)
		}
	}
	if len(others) > 0 {
		m.confirming = append(m.confirming, others[m.random.IntN(len(others))])
	}
}

func (m *Machine) anyUnreached() bool {
	for _, record := range m.regions {
		if record.unreached {
			return true
		}
	}
	return false
}

func (m *Machine) setUnreached(now time.Time, region string, unreached bool) {
	record := m.regions[region]
	record.unreached = unreached
	record.unreachedSince = now
	m.version++
	state := StateAlive
	if unreached {
		state = StateUnreachable
	}
	m.changes = append(m.changes, Change{Region: region, State: state, Source: m.self.Name})
}

func (m *Machine) suspectsByRegion() map[string]int {
	suspects := map[string]int{}
	for _, suspect := range m.suspects {
		suspects[suspect.Region]++
	}
	return suspects
}

func (m *Machine) regionViews(now time.Time, members []Member) []Region {
	views := map[string]*Region{}
	for _, member := range members {
		view := views[member.Region]
		if view == nil {
			view = m.regionView(now, member.Region)
			views[member.Region] = view
		}
		switch member.State {
		case StateAlive:
			view.Alive++
		case StateSuspect:
			view.Suspect++
		case StateUnreachable:
			view.Unreachable++
		case StateDead:
			view.Dead++
		case StateLeft:
			view.Left++
		}
	}
	regions := make([]Region, 0, len(views))
	for _, name := range slices.Sorted(maps.Keys(views)) {
		regions = append(regions, *views[name])
	}
	return regions
}

func (m *Machine) regionView(now time.Time, name string) *Region {
	if name == m.self.Region {
		return &Region{Name: name, HeardAt: now, HeardBy: m.self.Name}
	}
	record := m.regions[name]
	view := &Region{Name: name, Unreached: record.unreached, HeardAt: record.heardAt, HeardBy: record.heardBy}
	if record.unreached {
		view.UnreachedSince = record.unreachedSince
	}
	return view
}
