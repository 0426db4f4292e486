package batch

import (
	"sort"
)

// startOrder returns the indexes of items by descending length hint, so that the longest
// start first. Items with equal hints keep their order.
func startOrder(items []Item) []int {
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return items[order[a]].LengthHint > items[order[b]].LengthHint })
	return order
}

const (
	// shortShare is the share of a job's items that may be marked short.
	shortShare = 2.0 / 3
	// longShare is the share of a job's items that may be marked long.
	longShare = 0.15
)

// markShort marks the first longShare of the job's items, which have the largest hints, as long
// if their hints are positive. It marks the last shortShare as short if their hints are less than
// half of the largest. The caller holds runner.mu.
func (j *ownedJob) markShort() {
	if len(j.order) == 0 {
		return
	}
	hint := func(position int) int { return j.spec.Items[j.order[position]].LengthHint }
	for position := range int(longShare * float64(len(j.order))) {
		j.items[j.order[position]].long = hint(position) > 0
	}
	first := int((1 - shortShare) * float64(len(j.order)))
	for position := first; position < len(j.order); position++ {
		j.items[j.order[position]].short = hint(position) < hint(0)/2
	}
}
