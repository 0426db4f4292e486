package rowstore

import (
	"testing"
	"time"
)

func TestReadsOfAllNodesStayWithinTheStoresLimit(t *testing.T) {
	const reads = 2000
	for _, nodes := range []int{1, 10, 30, 100, 300, 1000} {
		pacing := Pacing{Limits: Limits{ReadsPerSecond: reads}, Fresh: 2 * time.Second, Nodes: func() int { return nodes }}
		perNode := freshWatches/pacing.FreshWait().Seconds() + idleWatches/pacing.IdleWait().Seconds() + busyWatches/max(pacing.BusyPace(), 20*time.Millisecond).Seconds()
		if nodes >= 100 && perNode*float64(nodes) > reads {
			t.Errorf("%d nodes ask %.0f times a second, all views changing", nodes, perNode*float64(nodes))
		}
		if nodes <= 300 && pacing.FreshWait() > time.Second {
			t.Errorf("%d nodes: a fresh view is confirmed each %s", nodes, pacing.FreshWait())
		}
		if nodes <= 100 && pacing.IdleWait() > time.Second {
			t.Errorf("%d nodes: a silent connection is noticed after %s", nodes, pacing.IdleWait())
		}
		if nodes <= 30 && pacing.BusyPace() > 150*time.Millisecond {
			t.Errorf("%d nodes: changes are folded over %s", nodes, pacing.BusyPace())
		}
	}
}

func TestBeatsOfAllNodesStayWithinTheirShareOfTheWrites(t *testing.T) {
	pacing := Pacing{Limits: Limits{WritesPerSecond: 800}}
	for _, nodes := range []int{1, 10, 100, 1000} {
		if writes := float64(nodes) / pacing.BeatInterval(nodes).Seconds(); writes > 0.16*800 {
			t.Errorf("%d nodes beat %.0f times a second", nodes, writes)
		}
	}
	if (Pacing{}).BeatInterval(100) != 0 {
		t.Error("a store without a limit sets a pace")
	}
}

// TestAllNodesTogetherKeepWithinTheReads: every table changes all the time, and a few
// nodes follow what only they make use of. From some tens of nodes on, all watches
// together stay within four fifths of what the store takes.
func TestAllNodesTogetherKeepWithinTheReads(t *testing.T) {
	const reads, keen = 2000, 12
	perSecond := func(pace time.Duration) float64 { return 1 / pace.Seconds() }
	for _, nodes := range []int{100, 300, 1000} {
		p := Pacing{Limits: Limits{ReadsPerSecond: reads}, Fresh: 3 * time.Second, Nodes: func() int { return nodes }}
		all := float64(nodes) * (perSecond(p.FreshWait()) + perSecond(p.RegistryPace()) + perSecond(p.BusyPace()) + perSecond(p.EvidencePace()))
		all += 3 * (keen*perSecond(p.InterestPace(true)) + float64(nodes-keen)*perSecond(p.InterestPace(false)))
		if all > 0.8*reads+3*keen*perSecond(p.InterestPace(true)) {
			t.Errorf("%d nodes: %.0f reads a second of %d", nodes, all, reads)
		}
		if p.RegistryPace() > p.FreshWait() {
			t.Errorf("%d nodes: the registry is %s behind", nodes, p.RegistryPace())
		}
	}
}
