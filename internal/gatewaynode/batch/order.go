package batch

import (
	"sort"
)

// startOrder returns the order in which items are started: the longest expected
// first, so that none of them starts late; equals as they were submitted.
func startOrder(items []Item) []int {
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return items[order[a]].LengthHint > items[order[b]].LengthHint })
	return order
}

const (
	// shortShare is the share of a job's items that count as short.
	shortShare = 2.0 / 3
	// longShare is the share of a job's items that count as long.
	longShare = 0.15
)

// markShort tells the items that are expected to be short, if the hints tell them
// from the others. The lock is held.
func (j *ownedJob) markShort() {
	if len(j.order) == 0 {
		return
	}
	hint := func(place int) int { return j.spec.Items[j.order[place]].LengthHint }
	for place := range int(longShare * float64(len(j.order))) {
		j.items[j.order[place]].long = hint(place) > 0
	}
	first := int((1 - shortShare) * float64(len(j.order)))
	for place := first; place < len(j.order); place++ {
		j.items[j.order[place]].short = hint(place) < hint(0)/2
	}
}
