package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
	"github.com/sliplift/sliplift/platform/standin"
)

// play lets the faults happen, until the run's end.
func (s *system) play(ctx context.Context, faults []fault) error {
	started := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	for _, f := range faults {
		if !sleepUntil(ctx, started.Add(f.at)) {
			return ctx.Err()
		}
		_, _ = fmt.Fprintf(s.config.Out, "%6.1f s  %s\n", time.Since(started).Seconds(), f)
		group.Go(func() { s.suffer(ctx, f) })
	}
	sleepUntil(ctx, started.Add(s.config.For-calmLast))
	return ctx.Err()
}

func sleepUntil(ctx context.Context, moment time.Time) bool {
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// suffer lets one thing fail, and mends it.
func (s *system) suffer(ctx context.Context, f fault) {
	over := s.note(f)
	ended := s.history.begin(s.disturbs(f)...)
	mend := s.begin(f)
	sleepUntil(ctx, time.Now().Add(f.lasts))
	mend()
	ended()
	over()
}

// note counts a fault and returns what is to be called at its end. What fails nothing for
// callers does not count.
func (s *system) note(f fault) func() {
	if f.kind == evacuateZone || f.kind == coldSampler || f.kind == signals {
		return func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults--
		s.calm = time.Now()
	}
}

// disturbs returns the names of what a fault disturbs.
func (s *system) disturbs(f fault) []string {
	n, b := s.nodes[f.target%len(s.nodes)], s.backends[f.target%len(s.backends)]
	switch f.kind {
	case killNode, stopNode, storeWay:
		return []string{n.name}
	case pauseNode:
		return []string{n.name, anyPause}
	case killAll:
		var names []string
		for _, each := range s.nodes {
			names = append(names, each.name)
		}
		return names
	case backendWay, backendFails:
		return []string{b.ID}
	case resets:
		return []string{n.name, b.ID}
	case coldReturn, zoneLoss, zoneCut:
		return s.namesIn(zoneOf(f.target))
	case storeAway, storeLoses, storeLate, storeForgets:
		return []string{everyStoreCall}
	}
	return nil
}

// alone tells whether one fault is under way and none was within a time before.
func (s *system) alone(before time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults <= 1 && time.Since(s.calm) > before
}

// begin lets something fail and returns what mends it.
func (s *system) begin(f fault) func() {
	n := s.nodes[f.target%len(s.nodes)]
	b := s.backends[f.target%len(s.backends)]
	switch f.kind {
	case killNode:
		n.kill()
		return func() { s.restart(n) }
	case killAll:
		return s.killAll()
	case pauseNode:
		n.pause()
		return n.resume
	case stopNode:
		if !n.stop() {
			s.judge.Count("planned stops that took too long")
		}
		return func() { s.restart(n) }
	case storeWay:
		n.store.set(f.way)
		return func() { n.store.set(passing) }
	case backendWay:
		b.way.set(f.way)
		return b.heal
	case backendFails:
		b.SetFaults(backendFault(f.variant))
		return func() { b.SetFaults(standin.SamplerFaults{}) }
	case resets:
		n.store.reset()
		b.way.reset()
		return func() {}
	case keysChange:
		return s.changeKeys(f.variant)
	case evacuateZone, coldSampler, coldReturn, zoneLoss, zoneCut:
		return s.beginInZone(f)
	case deadly:
		return s.sendDeadly(f)
	case signals:
		return s.beginSignals(f)
	default:
		return s.beginAtPlatform(f)
	}
}

// beginAtPlatform lets the store or the interface of duties fail.
func (s *system) beginAtPlatform(f fault) func() {
	switch f.kind {
	case storeAway:
		s.rows.SetFaults(rowstoretest.Faults{Refuse: f.variant%2 == 0, Silent: f.variant%2 == 1, Limit: time.Second})
	case storeLoses:
		s.rows.SetFaults(rowstoretest.Faults{LoseAnswers: true, Limit: 200 * time.Millisecond})
	case storeLate:
		s.rows.SetFaults(rowstoretest.Faults{Late: time.Duration(f.variant%3000) * time.Millisecond, Limit: 200 * time.Millisecond})
	case storeForgets:
		s.rows.Compact()
	case dutiesFail:
		s.duties.SetFaults([]standin.DutyFaults{
			{Silent: true}, {Busy: true}, {Lose: true}, {Late: 2 * time.Second}, {Slow: 400 * time.Millisecond},
		}[f.variant%5])
		return func() { s.duties.SetFaults(standin.DutyFaults{}) }
	}
	return func() { s.rows.SetFaults(rowstoretest.Faults{}) }
}

func backendFault(variant int) standin.SamplerFaults {
	return []standin.SamplerFaults{
		{Refuse: true}, {BreakAfter: 3}, {Mute: true}, {Lose: true}, {Garbage: true}, {WrongID: true},
		{LateOrders: 3 * time.Second},
	}[variant%7]
}

func (b *backend) heal() {
	b.way.set(passing)
	b.mu.Lock()
	b.healed = time.Now()
	b.mu.Unlock()
}

// excuses tells whether an order may have been held up on its way to the back end.
func (b *backend) excuses(at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.healed.IsZero() && at.Sub(b.healed) < thawTime
}

func (s *system) killAll() func() {
	var group sync.WaitGroup
	for _, n := range s.nodes {
		group.Go(n.kill)
	}
	group.Wait()
	return func() {
		for _, n := range s.nodes {
			s.restart(n)
		}
	}
}

// restart starts a node whose process has ended; one that runs is left alone: two
// faults may have ended it.
func (s *system) restart(n *node) {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
	default:
		return
	}
	if err := n.start(); err != nil {
		s.judge.Count("nodes that did not start")
	}
}

// changeKeys takes a key away and returns what gives it back.
func (s *system) changeKeys(variant int) func() {
	gone := []string{tenantKey(variant%tenants, 0)}
	if err := s.configure(gone); err != nil {
		s.judge.Count("configurations that were not written")
	}
	return func() {
		if err := s.configure(nil); err != nil {
			s.judge.Count("configurations that were not written")
		}
	}
}
