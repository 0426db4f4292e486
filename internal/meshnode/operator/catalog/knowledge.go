package catalog

import (
	"cmp"
	"slices"
)

// knowledge is what one or more nodes know at first hand.
type knowledge struct {
	Reports []Report       `json:"reports,omitempty"`
	Steps   []Step         `json:"steps,omitempty"`
	Leases  []Lease        `json:"leases,omitempty"`
	Events  []RequestEvent `json:"events,omitempty"`
}

// merge returns what both know; where they differ, the better word counts.
func (k knowledge) merge(other knowledge) knowledge {
	return knowledge{
		Reports: mergeBy(k.Reports, other.Reports, reportKey, youngerReport),
		Steps:   mergeBy(k.Steps, other.Steps, stepKey, laterStep),
		Leases:  mergeBy(k.Leases, other.Leases, leaseKey, laterLease),
		Events:  append(slices.Clone(k.Events), other.Events...),
	}
}

func mergeBy[T any, K comparable](first, second []T, key func(T) K, better func(a, b T) bool) []T {
	merged := slices.Clone(first)
	places := make(map[K]int, len(first))
	for i, item := range merged {
		places[key(item)] = i
	}
	for _, item := range second {
		place, known := places[key(item)]
		if !known {
			places[key(item)] = len(merged)
			merged = append(merged, item)
			continue
		}
		if better(item, merged[place]) {
			merged[place] = item
		}
	}
	return merged
}

func reportKey(r Report) string      { return r.Load.Backend }
func youngerReport(a, b Report) bool { return a.AgeMS < b.AgeMS }
func leaseKey(l Lease) string        { return l.Shard }
func laterLease(a, b Lease) bool     { return a.Epoch > b.Epoch }
func stepKey(s Step) stepID          { return stepID{s.Trainer, s.Step} }
func laterStep(a, b Step) bool       { return a.Epoch > b.Epoch }
func compareEvents(a, b RequestEvent) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.AfterMS, b.AfterMS), cmp.Compare(a.Attempt, b.Attempt))
}

type stepID struct {
	trainer string
	step    int64
}
