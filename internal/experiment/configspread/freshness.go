package configspread

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// freshness is the spread of "as of this instant nothing is missing", which an
// activation rule needs all the time: readers read the instant from the table,
// and heartbeats carry it to random peers.
type freshness struct {
	*simulation
	asOf    []time.Duration
	tableUp func(node int) bool
	// ages is what each node's age was just before it heard something newer.
	ages []time.Duration
}

func newFreshness(nodes int, loss float64, seed uint64) *freshness {
	f := &freshness{simulation: newSimulation(nodes, loss, seed), asOf: make([]time.Duration, nodes)}
	f.tableUp = func(int) bool { return true }
	for node := range nodes {
		f.every(heartbeatInterval, node, f.exchange)
		if isReader(node) {
			f.every(pollInterval, node, f.poll)
		}
	}
	return f
}

func (f *freshness) exchange(node int) {
	to := f.peerOf(node)
	own, other := f.asOf[node], f.asOf[to]
	f.send(node, to, func() { f.hear(to, own) })
	f.send(to, node, func() { f.hear(node, other) })
}

func (f *freshness) poll(node int) {
	asked := f.now
	if f.tableUp(node) {
		f.after(tableLatency, func() { f.hear(node, asked) })
	}
}

func (f *freshness) hear(node int, asOf time.Duration) {
	if asOf <= f.asOf[node] {
		return
	}
	if f.now > warmUp {
		f.ages = append(f.ages, f.now-f.asOf[node])
	}
	f.asOf[node] = asOf
}

type delayKey struct {
	nodes int
	loss  float64
}

// delays keeps the results of smallestDelay.
var delays sync.Map

// smallestDelay returns the delay duration that no node exceeded in healthy
// runs: less would stop nodes though nothing is broken.
func smallestDelay(nodes int, loss float64) time.Duration {
	if known, ok := delays.Load(delayKey{nodes, loss}); ok {
		return known.(time.Duration)
	}
	longest := time.Duration(0)
	for seed := range uint64(seeds) {
		f := newFreshness(nodes, loss, seed)
		f.runUntil(func() bool { return f.now > healthyTime })
		longest = max(longest, slices.Max(f.ages))
	}
	delays.Store(delayKey{nodes, loss}, longest)
	return longest
}

func freshnessRow(nodes int, loss float64) string {
	return fmt.Sprintf("smallest delay without stops: %5d ms", smallestDelay(nodes, loss).Milliseconds())
}

// cutRegion cuts one region off from the others and the table; cutTable makes
// the table unreachable for all.
func cutRegion(f *freshness) {
	f.linked = func(from, to int) bool { return !f.inCut() || (region(from) == 0) == (region(to) == 0) }
	f.tableUp = func(node int) bool { return !f.inCut() || region(node) != 0 }
}

func cutTable(f *freshness) { f.tableUp = func(int) bool { return !f.inCut() } }

func (f *freshness) inCut() bool { return f.now >= warmUp && f.now < warmUp+cutTime }

// stoppedRow counts the time that nodes are stopped by the rule during a fault
// of cutTime, with the smallest delay that healthy runs allow.
func stoppedRow(nodes int, loss float64, fault func(*freshness)) string {
	delay := smallestDelay(nodes, loss)
	f := newFreshness(nodes, loss, seeds)
	fault(f)
	stopped := time.Duration(0)
	const step = 100 * time.Millisecond
	var sample func()
	sample = func() {
		for _, asOf := range f.asOf {
			if f.now > warmUp && f.now-asOf > delay {
				stopped += step
			}
		}
		f.after(step, sample)
	}
	f.after(0, sample)
	f.runUntil(func() bool { return f.now > warmUp+cutTime+warmUp })
	total := float64(nodes) * cutTime.Seconds()
	return fmt.Sprintf("stopped: %6.0f node-seconds of %6.0f (%.0f%%)", stopped.Seconds(), total, 100*stopped.Seconds()/total)
}
