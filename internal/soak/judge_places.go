package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/sliplift/sliplift/platform/standin"
)

// Evacuation is an evacuation of a zone, from when the store acknowledged it until it was
// taken back.
type Evacuation struct {
	Zone             string
	From, TakenBack  time.Time
	takenBackUnknown bool
}

// covers tells whether nothing may come to the zone's samplers at a time.
func (e Evacuation) covers(at time.Time) bool {
	return at.After(e.From.Add(evacuateWithin)) && (e.takenBackUnknown || at.Before(e.TakenBack))
}

// Came is what came to a sampler.
type Came struct {
	Sampler, Zone string
	Arrivals      []standin.Arrival
	Colds         []standin.Cold
}

// isItem tells whether a request is of a batch job: every node is bound then, in touch or
// not.
func isItem(id string) bool { return strings.HasPrefix(id, jobPrefix) }

// Evacuated judges what came to a sampler by the evacuations of its zone: within a bound
// nothing more does, of live requests by nodes in touch, of items by all nodes.
func (j *Judge) Evacuated(came Came, evacuations []Evacuation, history *History) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, evacuation := range evacuations {
		if evacuation.Zone != came.Zone {
			continue
		}
		j.counts["evacuations by sampler"]++
		for _, arrival := range came.Arrivals {
			if evacuation.covers(arrival.At) && !j.couldNotKnow(came.Sampler, arrival, history) {
				j.breach("%s: came to %s %s after %s was evacuated", arrival.ID, came.Sampler, arrival.At.Sub(evacuation.From), came.Zone)
			}
		}
	}
}

// couldNotKnow tells whether the node that sent a request was out of touch, or the request
// held up on its way. The lock is held.
func (j *Judge) couldNotKnow(sampler string, arrival standin.Arrival, history *History) bool {
	const learns = evacuateWithin + time.Second
	if history.disturbed(arrival.At, learns, everyStoreCall) || history.disturbed(arrival.At, thawTime, sampler, anyPause) {
		return true
	}
	answer, live := j.answers[arrival.ID]
	if live {
		return history.disturbed(arrival.At, learns, answer.Node)
	}
	return !isItem(arrival.ID)
}

// Placed judges what came to a sampler by the regions that its request is bound to: live
// requests of one kind and whatever is of the bound tenant, to the region home. tenants
// maps a job's item to its tenant.
func (j *Judge) Placed(came Came, home string, tenants map[string]string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if regionOf(came.Zone) == home {
		return
	}
	for _, arrival := range came.Arrivals {
		answer, live := j.answers[arrival.ID]
		if live && answer.Kind == boundKind || answer.Tenant == tenantName(boundTenant) || tenants[arrival.ID] == tenantName(boundTenant) {
			j.breach("%s: came to %s in %s, may run in %s alone", arrival.ID, came.Sampler, regionOf(came.Zone), home)
		}
	}
}

// coldSpan is the time in which requests to a cold sampler are counted.
const coldSpan = time.Second

// ColdStarts judges what came to a sampler while it was cold: in no span of a second more
// than it bears, over all nodes, from when they could know on.
func (j *Judge) ColdStarts(came Came, history *History) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, cold := range came.Colds {
		j.counts["cold starts"]++
		within := slices.DeleteFunc(slices.Clone(came.Arrivals), func(a standin.Arrival) bool {
			return !a.Cold || a.At.Before(cold.From.Add(coldKnown)) || a.At.After(cold.Until) ||
				history.disturbed(a.At, thawTime, came.Sampler, anyPause) || history.disturbed(a.At, coldKnown, everyStoreCall)
		})
		if most := mostWithin(within, coldSpan); most > coldMost {
			j.breach("%s: %d requests in a second while cold, bears %d", came.Sampler, most, coldMost)
		}
	}
}

// mostWithin returns the most arrivals in any span of a length. They are in order.
func mostWithin(arrivals []standin.Arrival, length time.Duration) int {
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last].At.Sub(arrivals[first].At) >= length {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Left takes that the caller of a request went away, while nothing that could hide that
// was disturbed at its node.
func (j *Judge) Left(id, node string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.left[id] = departure{node: node, at: at}
	j.counts["callers that left"]++
}

// departure is a caller's going away.
type departure struct {
	node string
	at   time.Time
}

// Departures judges that nobody works for callers that went away.
func (j *Judge) Departures(runs []standin.Run, history *History) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, run := range runs {
		gone, left := j.left[run.ID]
		if !left {
			continue
		}
		limit := gone.at.Add(leaveWithin)
		if history.disturbed(limit, 2*leaveWithin, gone.node, run.Sampler, anyPause) {
			continue
		}
		if run.Stopped.IsZero() || run.Stopped.After(limit) {
			j.breach("%s: %s worked on for %s after the caller had left", run.ID, run.Sampler, run.Stopped.Sub(gone.at))
		}
	}
}
