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
func (r *regionRecord) silence(now time.Time) time.Duration {
	if r.heardAt.IsZero() {
		return now.Sub(r.knownSince)
	}
	return now.Sub(r.heardAt)
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
	if record.unreached && record.silence(now) < m.cfg.RegionSilence {
		record.unreached = false
		m.changed()
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
	var suspects map[string]int
	for name, record := range m.regions {
		count := m.count().regions[name]
		if record.unreached {
			if count.live == 0 {
				record.unreached = false
				m.changed()
			}
			continue
		}
		if record.silence(now) < m.cfg.RegionSilence || count.known < 2 || count.live == 0 {
			continue
		}
		if suspects == nil {
			suspects = m.suspectsByRegion()
		}
		if suspects[name] >= min(unreachedSuspects, count.live) {
			record.unreached = true
			record.unreachedSince = now
			m.changed()
		}
	}
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
