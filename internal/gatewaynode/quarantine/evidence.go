package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
)

const (
	// DeadlyEnds is after how many ends of back ends a work is quarantined. Fewer would
	// hold back requests that ran beside a deadly one twice, in two attempts.
	DeadlyEnds = 3
	// KeepEnd is how long an end is remembered after the last change of what is known of
	// the work.
	KeepEnd = 10 * time.Minute
	// keepSpread spreads over nodes when an end is forgotten: one of them takes the row away,
	// and the others see that.
	keepSpread = KeepEnd / 10
	// silentKeep is how long an end that is only presumed counts: entries of the registry
	// lapse within 3.5 s of the last sign of a back end.
	silentKeep = 5 * time.Second
)

// How is by what a back end is known to have ended.
type How string

// The kinds of evidence.
const (
	HowRefused How = "refused"
	HowGone    How = "gone"
	HowSilent  How = "silent"
)

// End is the end of a back end under a work.
type End struct {
	Work    fingerprint.Fingerprint
	Backend string
	// Life tells the ends of one back end apart, from 0 on: it may start again under its
	// name.
	Life    int
	Service string
	How     How
	// Node is the node that saw it.
	Node string
}

// endID names an end under its work.
type endID string

func (e End) id() endID { return endID(e.Backend + "/" + strconv.Itoa(e.Life)) }

// known is an End as this node holds it.
type known struct {
	End
	// at is when this node learnt of it.
	at time.Time
	// stored tells that the row is in the store.
	stored bool
}

// counts tells whether the end is evidence at a moment.
func (k known) counts(now time.Time) bool {
	return k.How != HowSilent || now.Sub(k.at) < silentKeep
}

// suspect is a work under which back ends ended.
type suspect struct {
	work fingerprint.Fingerprint
	ends map[endID]known
	// changed is when an end was added or taken away last; forget, when one is forgotten if
	// nothing changes.
	changed, forget time.Time
	// held tells that the work is quarantined, heldSince, since when this node has known it.
	held      bool
	heldSince time.Time
	// trial is how far the trial of the work is; it is not asked for before askAgain.
	trial    trial
	askAgain time.Time
}

// touch records that an end was added or taken away.
func (s *suspect) touch(now time.Time) {
	s.changed, s.forget = now, now.Add(KeepEnd+rand.N(keepSpread))
}

// count returns the number of back ends that ended under the work. It is pure.
func (s *suspect) count(now time.Time) int {
	count := 0
	for _, k := range s.ends {
		if k.counts(now) {
			count++
		}
	}
	return count
}

// oldest returns the end that is forgotten first. Nodes learn of ends in different orders:
// all choose the same.
func (s *suspect) oldest() known { return s.ends[slices.Min(slices.Collect(maps.Keys(s.ends)))] }

const (
	// restartsAfter is the least time between two ends of one back end; what is seen of it
	// sooner is the same end.
	restartsAfter = time.Second
	// lapsesWithin is how long after an end the registry may still tell of it.
	lapsesWithin = 5 * time.Second
)

// lifeOf returns which end of a back end is seen now: the last one that is known, if that
// was just seen, or else one more.
func (s *suspect) lifeOf(backend string, how How, now time.Time) int {
	same := restartsAfter
	if how != HowRefused {
		same = lapsesWithin
	}
	life := 0
	for _, k := range s.ends {
		if k.Backend != backend {
			continue
		}
		if now.Sub(k.at) < same || k.How == HowSilent {
			return k.Life
		}
		life = max(life, k.Life+1)
	}
	return life
}

// Suspect is what is known of a work, for operators.
type Suspect struct {
	Work fingerprint.Fingerprint
	Ends []End
	// Held tells that the work is quarantined; Changed is how long ago the last change was.
	Held    bool
	Changed time.Duration
}
