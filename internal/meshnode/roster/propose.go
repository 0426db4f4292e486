package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// Propose returns the change that the list needs now, if any. rules must be
// complete; memory must have observed claims and sight.
func Propose(now time.Time, rules Rules, claims configlog.ClaimMembers, memory *Memory, sight Sight) (*configlog.SetClaimMembers, bool) {
	if sight.Cut {
		return nil, false
	}
	p := proposal{now: now, rules: rules, claims: claims, memory: memory, sight: sight, listed: map[string]bool{}}
	for _, member := range claims.Current {
		p.listed[member.Name] = true
	}
	if len(claims.Current) == 0 {
		return p.first()
	}
	return p.next()
}

// proposal holds the arguments of one Propose.
type proposal struct {
	now    time.Time
	rules  Rules
	claims configlog.ClaimMembers
	memory *Memory
	sight  Sight
	// listed holds the names of the current list.
	listed map[string]bool
}

// first makes the first list. Nothing was granted before it, so it only waits
// for enough members, that the second list may be long in coming.
func (p *proposal) first() (*configlog.SetClaimMembers, bool) {
	waited := p.now.Sub(p.memory.startedAt)
	settled := p.joiners(p.rules.Settle)
	needed := min(p.rules.GroupSize, len(p.sight.Members)+p.sight.Unheard)
	if waited >= p.rules.ReplaceAfter {
		needed = needed/2 + 1
	}
	if len(settled) == 0 || len(settled) < needed {
		return nil, false
	}
	if len(settled) < len(p.joiners(0)) && waited < p.rules.FirstWait {
		return nil, false
	}
	return &configlog.SetClaimMembers{Current: p.bounded(nil, settled)}, true
}

// next replaces the list, drops former ones, or brings addresses up to date.
func (p *proposal) next() (*configlog.SetClaimMembers, bool) {
	change := &configlog.SetClaimMembers{Current: p.refresh(p.claims.Current, false)}
	for _, former := range p.claims.Former {
		change.Former = append(change.Former, p.refresh(former, false))
	}
	windowPassed := len(p.claims.Former) == 0 || p.memory.windowPassed(p.now, p.rules)
	if wanted, ok := p.urgent(); ok && len(p.claims.Former) < maxFormer {
		return p.replace(change, wanted, windowPassed), true
	}
	if wanted := p.wanted(); windowPassed && !sameGroups(wanted, p.claims.Current) {
		return p.replace(change, wanted, true), true
	}
	if windowPassed && len(p.claims.Former) > 0 {
		change.Former = nil
		return change, true
	}
	moved := !slices.Equal(change.Current, p.claims.Current)
	return change, moved && p.now.Sub(p.memory.revisedAt) >= refreshInterval
}

func (p *proposal) replace(change *configlog.SetClaimMembers, wanted []configlog.ClaimMember, windowPassed bool) *configlog.SetClaimMembers {
	former := [][]configlog.ClaimMember{p.refresh(p.claims.Current, false)}
	if !windowPassed {
		former = append(former, change.Former...)
	}
	return &configlog.SetClaimMembers{Current: wanted, Former: former}
}

// wanted is the list without the members that have been gone for long, and with
// those that have been alive for long.
func (p *proposal) wanted() []configlog.ClaimMember {
	gone := func(name string) bool { return p.memory.goneFor(p.now, name, p.rules.ReplaceAfter) }
	staying := slices.DeleteFunc(p.refresh(p.claims.Current, true), func(m configlog.ClaimMember) bool { return gone(m.Name) })
	list := p.bounded(staying, p.joiners(p.joinAfter()))
	return p.fill(list)
}

// joinAfter is longer while a member of the list is gone but not yet removed, so
// that its replacement takes one change, not two.
func (p *proposal) joinAfter() time.Duration {
	for name := range p.listed {
		if p.lost(name) && !p.memory.goneFor(p.now, name, p.rules.ReplaceAfter) {
			return max(p.rules.JoinAfter, p.rules.ReplaceAfter)
		}
	}
	return p.rules.JoinAfter
}

// fill keeps members that are gone where groups would become smaller without
// them: two of three replicas that answer are better than one of one, which
// forgets all when it restarts.
func (p *proposal) fill(list []configlog.ClaimMember) []configlog.ClaimMember {
	missing := min(p.rules.GroupSize, len(p.claims.Current)) - len(list)
	if missing <= 0 {
		return list
	}
	removed := slices.DeleteFunc(slices.Clone(p.claims.Current), func(m configlog.ClaimMember) bool { return contains(list, m.Name) })
	slices.SortStableFunc(removed, func(a, b configlog.ClaimMember) int {
		return p.memory.goneSince[b.Name].Compare(p.memory.goneSince[a.Name])
	})
	return sorted(append(list, removed[:min(missing, len(removed))]...))
}

// urgent returns a list to replace one that has lost the majority of any group,
// if there are members enough for whole groups.
func (p *proposal) urgent() ([]configlog.ClaimMember, bool) {
	staying := slices.DeleteFunc(p.refresh(p.claims.Current, true), func(m configlog.ClaimMember) bool { return p.lost(m.Name) })
	if len(staying) >= p.rules.majority(len(p.claims.Current)) {
		return nil, false
	}
	list := p.bounded(staying, p.joiners(p.rules.Settle))
	return list, len(list) >= min(p.rules.GroupSize, len(p.claims.Current))
}

// lost tells whether the membership holds the member for gone. One that is not
// known at all may only not have been heard yet.
func (p *proposal) lost(name string) bool {
	member, known := p.sight.find(name)
	return known && member.Status == Gone || !known && p.memory.goneFor(p.now, name, p.rules.ReplaceAfter)
}

// joiners returns the members that are not in the list and have been alive for
// at least that long, in an order that mixes zones.
func (p *proposal) joiners(least time.Duration) []configlog.ClaimMember {
	var joiners []configlog.ClaimMember
	for _, member := range p.sight.Members {
		if p.memory.aliveFor(p.now, member.Name, least) && !p.listed[member.Name] {
			joiners = append(joiners, member.ClaimMember)
		}
	}
	slices.SortFunc(joiners, func(a, b configlog.ClaimMember) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	return joiners
}

// bounded returns the members that stay and as many that join as there is room.
func (p *proposal) bounded(staying, joining []configlog.ClaimMember) []configlog.ClaimMember {
	room := max(0, p.rules.MaxMembers-len(staying))
	return sorted(append(staying, joining[:min(room, len(joining))]...))
}

// refresh returns the list with the addresses of members that have been alive
// for a while. A zone is part of what groups are chosen from, so only a list
// that replaces another may take a new one.
func (p *proposal) refresh(list []configlog.ClaimMember, zones bool) []configlog.ClaimMember {
	fresh := slices.Clone(list)
	for i := range fresh {
		seen, known := p.sight.find(fresh[i].Name)
		if !known || !p.memory.aliveFor(p.now, seen.Name, p.rules.Settle) {
			continue
		}
		fresh[i].Address = seen.Address
		if zones {
			fresh[i].Zone = seen.Zone
		}
	}
	return fresh
}

func sorted(list []configlog.ClaimMember) []configlog.ClaimMember {
	slices.SortFunc(list, func(a, b configlog.ClaimMember) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func contains(list []configlog.ClaimMember, name string) bool {
	return slices.ContainsFunc(list, func(m configlog.ClaimMember) bool { return m.Name == name })
}

// sameGroups tells whether every key has the same group in both lists.
func sameGroups(a, b []configlog.ClaimMember) bool {
	return slices.EqualFunc(a, b, func(x, y configlog.ClaimMember) bool { return x.Name == y.Name && x.Zone == y.Zone })
}
