package routing

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Admission keeps batch slots of engines free for requests that somebody waits
// for. It applies to requests that can wait at their node, such as samples: a
// back end without a free slot is left out with ReasonNoSlot.
type Admission struct {
	// Reserve is the number of slots that stay free at every back end.
	Reserve int
	// QuietSlots is the number of slots that may be used at a quiet back end.
	QuietSlots int
}

// FreeSlots returns how many more requests the back end may get; it may be
// negative.
func (a Admission) FreeSlots(b *Backend) int {
	slots := b.slots() - a.Reserve
	if b.Quiet {
		slots = min(slots, a.QuietSlots)
	}
	return slots - b.Estimate()
}

// Estimate returns the requests at the back end, running or waiting, corrected
// by this node's own since the report.
func (b *Backend) Estimate() int {
	return max(b.Running+b.Waiting+b.InFlight-b.ReportInFlight, b.InFlight)
}

// quietPenalty is added to the score of a back end that is not quiet for a
// request that prefers quiet ones, in requests per slot.
const quietPenalty = 0.5

// QuietNames returns the names of the back ends that are kept quiet: a share of
// them, rounded up, which depends on the names alone, so that all nodes agree.
func QuietNames(pool string, names []string, share float64) []string {
	count := min(len(names), int(math.Ceil(share*float64(len(names)))))
	if count <= 0 {
		return nil
	}
	key := xxhash.Sum64String(pool)
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(Rendezvous(b, key), Rendezvous(a, key)), cmp.Compare(a, b))
	})
	return ranked[:count]
}
