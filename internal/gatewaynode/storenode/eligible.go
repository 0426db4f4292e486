package storenode

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/coldstart"
	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/evacuation"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// Eligibility configures which back ends may get what.
type Eligibility struct {
	// Zones tells the region of each zone.
	Zones place.Map
	// EvacuateWithin is the time from the store's answer to an evacuation on after which
	// the zone's back ends get nothing more; 0 sets no limit to the age of what is known.
	EvacuateWithin time.Duration
	// ColdOverage and ColdSlack are those of coldstart.Limits.
	ColdOverage, ColdSlack float64
	// ObserveWithheld is told of each call that was kept back at the moment of sending, by
	// label of the reason; it may be nil.
	ObserveWithheld func(label string)
	// ObserveColdTurn is told of each call that went to a cold back end of a service; it
	// may be nil.
	ObserveColdTurn func(service string)
}

// evacuateMargin is kept free of EvacuateWithin: a request is on its way for a while after
// it was let through, 12 ms over the longest links seen, and longer out of a busy process.
const evacuateMargin = 300 * time.Millisecond

// ageMost returns the age of what is known of evacuations up to which jobs rely on it, 0
// for any.
func (e Eligibility) ageMost() time.Duration {
	if e.EvacuateWithin <= 0 {
		return 0
	}
	return max(e.EvacuateWithin-evacuateMargin, e.EvacuateWithin/2)
}

// paced returns the pacing of the operator's rows: with two watches, the one that proved
// them and the one that is open, they have to be no older than jobs may rely on.
func (e Eligibility) paced(pacing rowstore.Pacing) rowstore.Pacing {
	if most := e.ageMost(); most > 0 {
		pacing.Fresh = min(pacing.Fresh, max(most-touchSlack, most/2))
	}
	return pacing
}

// decideBy sets up what decides which back ends may get a request.
func (n *Node) decideBy() {
	n.evacuations = evacuation.NewBook()
	n.shares = newColdShares(n)
	n.gate = eligibility.NewGate(eligibility.Config{
		Fleet: n.fleet, QuarantineFailures: n.quarantine.Held, Evacuations: n.evacuations, Zones: n.config.Eligibility.Zones,
		EvacuationsAge:    func(now time.Time) time.Duration { return n.operator.Status().ProvenAge(now) },
		MaxEvacuationsAge: n.config.Eligibility.ageMost(), Share: n.shares.of, Observe: n.config.Eligibility.ObserveWithheld, ObserveColdCall: n.config.Eligibility.ObserveColdTurn,
	})
}

// applyEvacuations takes what the operator's rows say of evacuations.
func (n *Node) applyEvacuations(rows []rowstore.Row, complete bool) {
	var changes []evacuation.Row
	for _, row := range rows {
		read, err := n.config.Translator.Operator(row)
		if err == nil && read.Evacuated != "" {
			changes = append(changes, evacuation.Row{Zone: read.Evacuated, Revision: row.Revision, Removed: row.Deleted})
		}
	}
	now := time.Now()
	n.coolDown(ending(n.evacuations.InForce(), changes, complete), now)
	change := n.evacuations.Update(changes, complete, now)
	for _, begun := range change.Begun {
		n.config.Log.Warn(eventlog.EvacuationBegun, eventlog.Fields{eventlog.Zone: begun.Zone, eventlog.Revision: begun.Revision})
	}
	for _, ended := range change.Ended {
		n.config.Log.Warn(eventlog.EvacuationEnded, eventlog.Fields{
			eventlog.Zone: ended.Zone, eventlog.Revision: ended.Revision, "lasted_ms": now.Sub(ended.Since).Milliseconds(),
		})
	}
	if len(change.Begun)+len(change.Ended) > 0 {
		n.kick()
	}
}

// ending returns the zones whose evacuation ends with changes of rows, also one that this
// node never saw in force: its view may have been behind all the while. It is pure.
func ending(inForce evacuation.Set, changes []evacuation.Row, complete bool) map[string]bool {
	zones := make(map[string]bool)
	present := make(map[string]bool)
	for _, change := range changes {
		present[change.Zone] = !change.Removed
		if change.Removed {
			zones[change.Zone] = true
		}
	}
	for zone := range inForce {
		if complete && !present[zone] {
			zones[zone] = true
		}
	}
	return zones
}

// coolDown takes the back ends of zones whose evacuation ends to be cold: they may have
// turned so while nothing went there. It is called before the end is known, so that
// nothing goes there in between.
func (n *Node) coolDown(zones map[string]bool, now time.Time) {
	table := n.table.Load()
	if table == nil || len(zones) == 0 {
		return
	}
	longest := time.Duration(0)
	for _, service := range table.Services {
		if service.ColdPerSecond > 0 {
			longest = max(longest, service.ColdStart)
		}
	}
	n.coldZones.mark(zones, now.Add(longest))
	count := 0
	for _, b := range n.fleet.All(now) {
		service := table.Services[b.Service]
		if !zones[b.Zone] || service.ColdPerSecond <= 0 {
			continue
		}
		n.fleet.MarkCold(b.ID, now.Add(service.ColdStart))
		count++
	}
	n.config.Log.Info(eventlog.BackendsCold, eventlog.Fields{"zones": slices.Sorted(maps.Keys(zones)), eventlog.Count: count})
}

// coldZones remembers until when the back ends of zones count as cold, also those whose
// entries were missing when that became known. It is safe for concurrent use.
type coldZones struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (z *coldZones) mark(zones map[string]bool, until time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.until == nil {
		z.until = make(map[string]time.Time)
	}
	for zone := range zones {
		z.until[zone] = until
	}
}

// left returns for how much longer the back ends of a zone count as cold.
func (z *coldZones) left(zone string, now time.Time) time.Duration {
	z.mu.Lock()
	defer z.mu.Unlock()
	return max(z.until[zone].Sub(now), 0)
}

// limits returns what a cold back end of a service may get.
func (n *Node) limits(service string) coldstart.Limits {
	table := n.table.Load()
	if table == nil {
		return coldstart.Limits{}
	}
	return coldstart.Limits{
		PerSecond: table.Services[service].ColdPerSecond,
		Overage:   n.config.Eligibility.ColdOverage, Slack: n.config.Eligibility.ColdSlack,
	}
}

// Evacuations returns the evacuations in force.
func (n *Node) Evacuations() evacuation.Set { return n.evacuations.InForce() }

// ColdBackends returns the number of back ends that are taken to be cold.
func (n *Node) ColdBackends() int {
	now := time.Now()
	count := 0
	for _, b := range n.fleet.All(now) {
		if b.Cold(now) {
			count++
		}
	}
	return count
}

// EvacuationAge returns for how long this node has known the oldest evacuation in force,
// 0 if there is none.
func (n *Node) EvacuationAge() time.Duration {
	now, age := time.Now(), time.Duration(0)
	for _, e := range n.evacuations.InForce() {
		age = max(age, now.Sub(e.Since))
	}
	return age
}

// EvacuationsProvenAge returns how long ago the evacuations were certain to be known
// whole.
func (n *Node) EvacuationsProvenAge() time.Duration { return n.operator.Status().ProvenAge(time.Now()) }
