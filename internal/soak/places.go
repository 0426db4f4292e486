package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/sliplift/sliplift/platform/standin"
)

// Bounds of zones, regions, cold starts and callers that leave.
const (
	// evacuateWithin is how long after the store's answer something may still come to the
	// samplers of an evacuated zone.
	evacuateWithin = 2 * time.Second
	// A cold sampler bears coldPerSecond requests a second, times coldOverage and
	// coldSlack more; coldMost is the sum. It falls over at coldFalls.
	coldPerSecond     = 2
	coldOverage       = 1.5
	coldSlack         = 5
	coldMost      int = coldPerSecond*coldOverage + coldSlack
	coldFalls         = 3 * coldMost
	coldSlower        = 1.6
	// coldFor is how long samplers are cold that come back.
	coldFor = 2 * time.Second
	// coldKnown is within which nodes know that a sampler turned cold while it ran.
	coldKnown = time.Second
	// leaveWithin is within which work ends for a caller that left: half a second, and as
	// much again for processes that wait for the processor.
	leaveWithin = time.Second
)

// Zones of the run: the last one is a region of its own.
const (
	zones      = 3
	homeRegion = "r0"
	farRegion  = "r1"
)

func zoneOf(number int) string { return fmt.Sprintf("z%d", number%zones) }

func regionOf(zone string) string {
	if zone == zoneOf(zones-1) {
		return farRegion
	}
	return homeRegion
}

// zoneRegions returns the nodes' settings that tell the regions.
func zoneRegions() string {
	text := ""
	for number := range zones {
		text += fmt.Sprintf("zone-region = %s=%s\n", zoneOf(number), regionOf(zoneOf(number)))
	}
	return text
}

// boundTenant is the tenant whose requests may run in homeRegion alone; those of the
// route boundKind may as well.
const (
	boundTenant = tenants - 1
	boundKind   = "bound"
)

// nodesIn and backendsIn return what stands in a zone.
func (s *system) nodesIn(zone string) []*node {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.zone != zone })
}

func (s *system) backendsIn(zone string) []*backend {
	return slices.DeleteFunc(slices.Clone(s.backends), func(b *backend) bool { return b.Zone != zone })
}

// namesIn returns the names of what stands in a zone, as a History knows them.
func (s *system) namesIn(zone string) []string {
	var names []string
	for _, n := range s.nodesIn(zone) {
		names = append(names, n.name)
	}
	for _, b := range s.backendsIn(zone) {
		names = append(names, b.ID)
	}
	return names
}

// beginInZone lets something happen to a zone, and returns what mends it.
func (s *system) beginInZone(f fault) func() {
	zone := zoneOf(f.target)
	switch f.kind {
	case evacuateZone:
		return s.evacuate(zone, f.variant%2 == 0)
	case coldSampler:
		b := s.backends[f.target%len(s.backends)]
		b.TurnCold(f.lasts, standin.ColdStart{Most: coldFalls, Slower: coldSlower})
		return func() {}
	case coldReturn:
		return s.loseBackends(zone)
	case zoneLoss:
		return s.loseZone(zone)
	default:
		return s.cutZone(zone)
	}
}

// evacuate asks for nothing more to be sent to a zone, and returns what takes that back;
// the zone may have turned cold then.
func (s *system) evacuate(zone string, warm bool) func() {
	began := Evacuation{Zone: zone, From: standin.Evacuate(s.rows, zone), takenBackUnknown: true}
	s.mu.Lock()
	place := len(s.evacuations)
	s.evacuations = append(s.evacuations, began)
	s.evacuating[zone]++
	s.mu.Unlock()
	return func() {
		if !warm {
			s.turnCold(zone)
		}
		// What is sent once the operator has begun to take it back counts for nothing.
		s.mu.Lock()
		s.evacuations[place].TakenBack, s.evacuations[place].takenBackUnknown = time.Now(), false
		s.evacuating[zone]--
		last := s.evacuating[zone] == 0
		s.mu.Unlock()
		if last {
			// The zone's row stands for all evacuations of it that overlap.
			standin.EndEvacuation(s.rows, zone)
		}
	}
}

func (s *system) turnCold(zone string) {
	for _, b := range s.backendsIn(zone) {
		b.TurnCold(coldFor, standin.ColdStart{Most: coldFalls, Slower: coldSlower})
	}
}

// loseBackends takes a zone's back ends away and returns what brings them back together,
// cold.
func (s *system) loseBackends(zone string) func() {
	for _, b := range s.backendsIn(zone) {
		b.way.set(refusing)
	}
	return func() {
		s.turnCold(zone)
		for _, b := range s.backendsIn(zone) {
			b.heal()
		}
	}
}

// loseZone takes the power of a zone away, and returns what gives it back.
func (s *system) loseZone(zone string) func() {
	bringBack := s.loseBackends(zone)
	for _, n := range s.nodesIn(zone) {
		n.kill()
	}
	return func() {
		bringBack()
		for _, n := range s.nodesIn(zone) {
			s.restart(n)
		}
	}
}

// cutZone cuts a zone's nodes off from the store, while callers reach them.
func (s *system) cutZone(zone string) func() {
	for _, n := range s.nodesIn(zone) {
		n.store.set(silent)
	}
	return func() {
		for _, n := range s.nodesIn(zone) {
			n.store.set(passing)
		}
	}
}

// judgePlaces judges what came where.
func (s *system) judgePlaces(load *load, runs []standin.Run) {
	tenants := load.tenantsOfItems()
	s.mu.Lock()
	evacuations := slices.Clone(s.evacuations)
	s.mu.Unlock()
	for _, b := range s.backends {
		came := Came{Sampler: b.ID, Zone: b.Zone, Arrivals: b.Arrivals(), Colds: b.Colds()}
		s.judge.Evacuated(came, evacuations, s.history)
		s.judge.Placed(came, homeRegion, tenants)
		s.judge.ColdStarts(came, s.history)
		if !b.FellOver().IsZero() {
			s.judge.Count("samplers that fell over")
		}
	}
	s.judge.Departures(runs, s.history)
}
