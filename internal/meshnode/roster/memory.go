package roster

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// maxGap is the time between two looks beyond which the process was paused, so
// that its clocks prove nothing.
const maxGap = 30 * time.Second

// Memory is what a node remembers of the members from one look to the next. It
// is a state machine without I/O; callers serialise its use.
type Memory struct {
	startedAt  time.Time
	observedAt time.Time
	// aliveSince and goneSince hold members without interruption in that state;
	// a member of the list that is not known at all counts as gone.
	aliveSince map[string]time.Time
	goneSince  map[string]time.Time
	// lists identifies the current and former lists, changedAt is when this
	// memory first saw them together, and settledAt when no claim could be won
	// on former lists alone any more; zero while that is not known.
	lists     uint64
	changedAt time.Time
	settledAt time.Time
	// revision is that of the lists, and revisedAt when this memory saw it first.
	revision  int64
	revisedAt time.Time
}

// NewMemory returns a memory that has seen nothing.
func NewMemory() *Memory { return &Memory{} }

// Observe takes a look.
func (m *Memory) Observe(now time.Time, claims configlog.ClaimMembers, sight Sight) {
	if m.startedAt.IsZero() || now.Sub(m.observedAt) > maxGap {
		*m = Memory{startedAt: now, aliveSince: map[string]time.Time{}, goneSince: map[string]time.Time{}}
	}
	m.observedAt = now
	m.observeLists(now, claims)
	seen := map[string]bool{}
	for _, member := range sight.Members {
		seen[member.Name] = true
		mark(m.aliveSince, member.Name, now, member.Status == Alive)
		mark(m.goneSince, member.Name, now, member.Status == Gone)
	}
	listed := listedNames(claims)
	for name := range listed {
		if !seen[name] {
			mark(m.aliveSince, name, now, false)
			mark(m.goneSince, name, now, true)
		}
	}
	m.forget(seen, listed)
}

// observeLists begins anew where the lists changed in more than addresses.
func (m *Memory) observeLists(now time.Time, claims configlog.ClaimMembers) {
	if m.revisedAt.IsZero() || claims.Revision != m.revision {
		m.revision = claims.Revision
		m.revisedAt = now
	}
	lists := hashLists(claims)
	if m.changedAt.IsZero() || lists != m.lists {
		m.lists = lists
		m.changedAt = now
		m.settledAt = time.Time{}
	}
}

func mark(since map[string]time.Time, name string, now time.Time, holds bool) {
	if !holds {
		delete(since, name)
		return
	}
	if _, marked := since[name]; !marked {
		since[name] = now
	}
}

func (m *Memory) forget(seen, listed map[string]bool) {
	for _, since := range []map[string]time.Time{m.aliveSince, m.goneSince} {
		for name := range since {
			if !seen[name] && !listed[name] {
				delete(since, name)
			}
		}
	}
}

// aliveFor tells whether the member has been alive for at least that long.
func (m *Memory) aliveFor(now time.Time, name string, least time.Duration) bool {
	since, alive := m.aliveSince[name]
	return alive && now.Sub(since) >= least
}

// goneFor tells whether the member has been gone for at least that long.
func (m *Memory) goneFor(now time.Time, name string, least time.Duration) bool {
	since, gone := m.goneSince[name]
	return gone && now.Sub(since) >= least
}

// Settled tells whether the former lists are known to win no claim alone.
func (m *Memory) Settled() bool { return !m.settledAt.IsZero() }

// Confirm takes the names of members that have applied the revision of the
// lists. The former lists are settled once fewer members of each than a majority
// of a group may still act on it alone.
func (m *Memory) Confirm(now time.Time, rules Rules, claims configlog.ClaimMembers, confirmed []string) {
	if m.Settled() || hashLists(claims) != m.lists {
		return
	}
	applied := map[string]bool{}
	for _, name := range confirmed {
		applied[name] = true
	}
	for _, former := range claims.Former {
		open := 0
		for _, member := range former {
			if !applied[member.Name] && !m.goneFor(now, member.Name, rules.Window) {
				open++
			}
		}
		if open >= rules.majority(len(former)) {
			return
		}
	}
	m.settledAt = now
}

// windowPassed tells whether the former lists are needed no longer.
func (m *Memory) windowPassed(now time.Time, rules Rules) bool {
	settledAt := m.settledAt
	if byAge := m.changedAt.Add(rules.MaxViewAge); rules.MaxViewAge > 0 && (settledAt.IsZero() || byAge.Before(settledAt)) {
		settledAt = byAge
	}
	return !settledAt.IsZero() && now.Sub(settledAt) >= rules.Window
}

func listedNames(claims configlog.ClaimMembers) map[string]bool {
	names := map[string]bool{}
	for _, list := range append([][]configlog.ClaimMember{claims.Current}, claims.Former...) {
		for _, member := range list {
			names[member.Name] = true
		}
	}
	return names
}

// hashLists identifies the lists by what groups are chosen from: the names and
// zones, not the addresses.
func hashLists(claims configlog.ClaimMembers) uint64 {
	digest := xxhash.New()
	for _, list := range append([][]configlog.ClaimMember{claims.Current}, claims.Former...) {
		for _, member := range list {
			_, _ = digest.WriteString(member.Name + "\x00" + member.Zone + "\x00")
		}
		_, _ = digest.WriteString("\x01")
	}
	return digest.Sum64()
}
