package configspread

import (
	"fmt"
	"time"
)

// spread is one change on its way.
type spread struct {
	*simulation
	fanout    int
	applied   []bool
	confirmed []bool
	missing   int
}

// confirmationTime returns how long after its acceptance at node 0 a change is
// known there to be in force everywhere, when the last node applied it, and the
// messages that were sent. If nobody asks, only the second is measured.
func confirmationTime(nodes int, loss float64, seed uint64, fanout int, ask bool) (confirmed, applied time.Duration, messages int) {
	s := &spread{
		simulation: newSimulation(nodes, loss, seed), fanout: fanout,
		applied: make([]bool, nodes), confirmed: make([]bool, nodes), missing: nodes,
	}
	left := nodes
	onApply := func() {
		if left--; left == 0 {
			applied = s.now
		}
	}
	for node := range nodes {
		s.every(heartbeatInterval, node, func(node int) { s.exchange(node, onApply) })
		if isReader(node) {
			s.every(pollInterval, node, func(node int) { s.after(tableLatency, func() { s.apply(node, onApply) }) })
		}
	}
	s.apply(0, onApply)
	if ask {
		s.ask(onApply)
	}
	s.runUntil(func() bool { return s.missing == 0 || !ask && left == 0 })
	return s.now, applied, s.messages
}

// apply is the node's first sight of the change: it pushes once.
func (s *spread) apply(node int, onApply func()) {
	if s.applied[node] {
		return
	}
	s.applied[node] = true
	onApply()
	for range min(s.fanout, s.nodes-1) {
		to := s.peerOf(node)
		s.send(node, to, func() { s.apply(to, onApply) })
	}
}

// exchange compares revisions with one peer; the one behind pulls.
func (s *spread) exchange(node int, onApply func()) {
	to := s.peerOf(node)
	s.send(node, to, func() { s.compare(to, node, onApply) })
	s.send(to, node, func() { s.compare(node, to, onApply) })
}

func (s *spread) compare(node, peer int, onApply func()) {
	if s.applied[node] || !s.applied[peer] {
		return
	}
	s.send(node, peer, func() { s.send(peer, node, func() { s.apply(node, onApply) }) })
}

// ask puts the question to all members that have not confirmed. One that is
// behind pulls from the asker.
func (s *spread) ask(onApply func()) {
	for node := range s.nodes {
		if s.confirmed[node] {
			continue
		}
		s.send(0, node, func() {
			if s.applied[node] {
				s.send(node, 0, func() { s.confirm(node) })
			}
			s.compare(node, 0, onApply)
		})
	}
	s.after(askInterval, func() { s.ask(onApply) })
}

func (s *spread) confirm(node int) {
	if !s.confirmed[node] {
		s.confirmed[node] = true
		s.missing--
	}
}

func confirmationRow(nodes int, loss float64, fanout int, ask bool) string {
	const runs = 20
	var confirmed, applied []time.Duration
	messages := 0
	for seed := range uint64(runs) {
		c, a, m := confirmationTime(nodes, loss, seed, fanout, ask)
		confirmed, applied = append(confirmed, c), append(applied, a)
		messages += m
	}
	text := fmt.Sprintf("applied by all: median %4d ms, longest %4d ms; ", quantile(applied, 0.5).Milliseconds(), quantile(applied, 1).Milliseconds())
	if ask {
		text += fmt.Sprintf("confirmed: median %4d ms, longest %4d ms; ", quantile(confirmed, 0.5).Milliseconds(), quantile(confirmed, 1).Milliseconds())
	}
	return text + fmt.Sprintf("%d messages", messages/runs)
}
