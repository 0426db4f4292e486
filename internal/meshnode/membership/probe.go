package membership

import (
	"maps"
	"slices"
	"time"
)

// probe is a ping that waits for its acknowledgement.
type probe struct {
	target      string
	incarnation int64
	started     time.Time
	helpers     bool
	// failed names the helpers that got no answer either.
	failed []string
}

// relay is a ping that a helper sends for the node named origin.
type relay struct {
	origin         string
	originSequence uint64
	target         string
	deadline       time.Time
}

func (m *Machine) nextSequence() uint64 {
	m.sequence++
	return m.sequence
}

// forgetOpenProbes drops probes whose outcome proves nothing, because this
// process was paused.
func (m *Machine) forgetOpenProbes() {
	clear(m.probes)
	clear(m.relays)
}

// startProbes begins the probes of a new period.
func (m *Machine) startProbes(now time.Time) []Envelope {
	if m.leaving {
		return nil
	}
	m.period++
	var out []Envelope
	if target := m.nextTarget(); target != nil {
		out = append(out, m.startProbe(now, target))
	}
	if m.cfg.GoneProbeEvery > 0 && m.period%uint64(m.cfg.GoneProbeEvery) == 0 {
		out = append(out, m.pingGone(now)...)
	}
	return out
}

// confirm begins the probes that a suspicion called for.
func (m *Machine) confirm(now time.Time) []Envelope {
	var out []Envelope
	for _, name := range m.confirming {
		if target := m.members[name]; target != nil && !target.state.gone() && !m.leaving {
			out = append(out, m.startProbe(now, target))
		}
	}
	m.confirming = nil
	return out
}

func (m *Machine) startProbe(now time.Time, target *entry) Envelope {
	sequence := m.nextSequence()
	m.probes[sequence] = &probe{target: target.Name, incarnation: target.Incarnation, started: now}
	return m.ping(now, target, sequence)
}

func (m *Machine) ping(now time.Time, target *entry, sequence uint64) Envelope {
	return m.envelope(target, Ping{Heartbeat: m.heartbeat(now, target.Name), Sequence: sequence})
}

func (m *Machine) envelope(to *entry, payload Payload) Envelope {
	return Envelope{To: to.Name, Address: to.PeerAddress, Payload: payload}
}

// pingGone pings one dead member. Nothing waits for its answer: if it is alive
// it refutes.
func (m *Machine) pingGone(now time.Time) []Envelope {
	var dead []string
	for name, member := range m.gone {
		if member.state == StateDead {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	target := m.members[dead[m.random.IntN(len(dead))]]
	return []Envelope{m.ping(now, target, m.nextSequence())}
}

// nextTarget walks through all members in random order, most periods through
// those of the own region and every n-th through the others.
func (m *Machine) nextTarget() *entry {
	cross := m.cfg.CrossRegionEvery > 0 && m.period%uint64(m.cfg.CrossRegionEvery) == 0
	first, second := &m.ownRound, &m.crossRound
	if cross {
		first, second = second, first
	}
	if target := m.pop(first, cross); target != nil {
		return target
	}
	return m.pop(second, !cross)
}

func (m *Machine) pop(round *[]string, cross bool) *entry {
	for range 2 {
		for len(*round) > 0 {
			name := (*round)[len(*round)-1]
			*round = (*round)[:len(*round)-1]
			if member := m.members[name]; member != nil && !member.state.gone() {
				return member
			}
		}
		*round = m.newRound(cross)
	}
	return nil
}

func (m *Machine) newRound(cross bool) []string {
	var round []string
	for _, name := range m.liveNames() {
		if (m.members[name].Region != m.self.Region) == cross {
			round = append(round, name)
		}
	}
	m.random.Shuffle(len(round), func(i, j int) { round[i], round[j] = round[j], round[i] })
	return round
}

// advanceProbes asks helpers where the target is late, and takes the target for
// suspect where the helpers got no answer either.
func (m *Machine) advanceProbes(now time.Time) []Envelope {
	var out []Envelope
	for _, sequence := range slices.Sorted(maps.Keys(m.probes)) {
		p := m.probes[sequence]
		elapsed := now.Sub(p.started)
		target := m.members[p.target]
		switch {
		case target == nil || target.Incarnation != p.incarnation || target.state.gone():
			delete(m.probes, sequence)
		case elapsed >= m.cfg.IndirectTimeout:
			delete(m.probes, sequence)
			out = append(out, m.probeFailed(now, target, p)...)
		case elapsed >= m.cfg.DirectTimeout && !p.helpers:
			p.helpers = true
			out = append(out, m.askHelpers(now, target, sequence)...)
		}
	}
	return out
}

// probeFailed records the observation. One more ping tells the target of the
// suspicion, should it be alive after all.
func (m *Machine) probeFailed(now time.Time, target *entry, p *probe) []Envelope {
	m.suspect(now, target, append([]string{m.self.Name}, p.failed...))
	m.considerRegion(now, target.Region)
	return []Envelope{m.ping(now, target, m.nextSequence())}
}

func (m *Machine) askHelpers(now time.Time, target *entry, sequence uint64) []Envelope {
	var out []Envelope
	for _, helper := range m.chooseHelpers(target) {
		out = append(out, m.envelope(helper, ProbeRequest{Heartbeat: m.heartbeat(now, helper.Name), Sequence: sequence, Target: target.Name}))
	}
	return out
}

// chooseHelpers picks alive members: one of the target's region where that is
// another one, then of as many further zones as there are.
func (m *Machine) chooseHelpers(target *entry) []*entry {
	candidates := slices.Clone(m.liveNames())
	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var helpers []*entry
	zones := map[string]bool{m.self.Zone: true}
	take := func(limit int, fits func(*entry) bool) {
		for _, name := range candidates {
			helper := m.members[name]
			if len(helpers) >= limit {
				return
			}
			if helper != target && m.listens(helper) && !slices.Contains(helpers, helper) && fits(helper) {
				helpers = append(helpers, helper)
				zones[helper.Zone] = true
			}
		}
	}
	if target.Region != m.self.Region {
		take(1, func(e *entry) bool { return e.Region == target.Region })
	}
	take(m.cfg.Helpers, func(e *entry) bool { return !zones[e.Zone] })
	take(m.cfg.Helpers, func(*entry) bool { return true })
	return helpers
}

func (m *Machine) onPing(now time.Time, from string, ping Ping) []Envelope {
	sender := m.members[from]
	if sender == nil || sender.Incarnation != ping.Incarnation {
		// Its address is not known. A sync will bring it.
		return nil
	}
	return []Envelope{m.envelope(sender, Ack{Heartbeat: m.heartbeat(now, from), Sequence: ping.Sequence})}
}

func (m *Machine) onAck(now time.Time, from string, ack Ack) []Envelope {
	if p := m.probes[ack.Sequence]; p != nil && (p.target == from || p.target == ack.Target) {
		delete(m.probes, ack.Sequence)
	}
	r := m.relays[ack.Sequence]
	if r == nil || r.target != from {
		return nil
	}
	delete(m.relays, ack.Sequence)
	origin := m.members[r.origin]
	if origin == nil {
		return nil
	}
	return []Envelope{m.envelope(origin, Ack{Heartbeat: m.heartbeat(now, r.origin), Sequence: r.originSequence, Target: r.target})}
}

func (m *Machine) onProbeRequest(now time.Time, from string, request ProbeRequest) []Envelope {
	target := m.members[request.Target]
	if target == nil || m.leaving {
		return nil
	}
	sequence := m.nextSequence()
	m.relays[sequence] = &relay{origin: from, originSequence: request.Sequence, target: request.Target, deadline: now.Add(m.cfg.DirectTimeout)}
	return []Envelope{m.ping(now, target, sequence)}
}

func (m *Machine) onNack(from string, nack Nack) {
	if p := m.probes[nack.Sequence]; p != nil && p.target == nack.Target && !slices.Contains(p.failed, from) {
		p.failed = append(p.failed, from)
	}
}

// advanceRelays answers for targets that did not.
func (m *Machine) advanceRelays(now time.Time) []Envelope {
	var out []Envelope
	for _, sequence := range slices.Sorted(maps.Keys(m.relays)) {
		r := m.relays[sequence]
		if now.Before(r.deadline) {
			continue
		}
		delete(m.relays, sequence)
		if origin := m.members[r.origin]; origin != nil {
			out = append(out, m.envelope(origin, Nack{Heartbeat: m.heartbeat(now, r.origin), Sequence: r.originSequence, Target: r.target}))
		}
	}
	return out
}
