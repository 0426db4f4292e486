package membership

import (
	"fmt"
	"testing"
	"time"
)

// sizes leaves the largest cluster out of short runs.
func sizes() []int {
	if testing.Short() {
		return []int{3, 30}
	}
	return []int{3, 30, 330}
}

func TestJoin(t *testing.T) {
	t.Parallel()
	for _, size := range sizes() {
		s := cluster(1, size, 1+size/100)
		took, ok := s.until(30*time.Second, s.converged)
		t.Logf("%d nodes started together know each other after %s", size, took)
		if !ok {
			t.Errorf("%d nodes have not found each other", size)
		}
	}
}

func TestCrashIsDetected(t *testing.T) {
	t.Parallel()
	for _, size := range sizes() {
		s := joined(2, size, 1+size/100)
		s.nodes["n1"].down = true
		s.counting = true
		began := s.now
		first, ok := s.until(20*time.Second, func() bool { return s.seenBy("n1", StateDead) > 0 })
		all, okAll := s.until(20*time.Second, func() bool { return s.seenBy("n1", StateDead) == size-1 })
		t.Logf("%d nodes: a crash is known to the first after %s and to all %s later", size, first, all)
		t.Logf("%d nodes: meanwhile %s", size, s.cost(s.now.Sub(began)))
		s.counting = false
		if !ok || !okAll {
			t.Errorf("%d nodes: %d see the crash", size, s.seenBy("n1", StateDead))
		}
		s.restart("n1")
		back, ok := s.until(20*time.Second, s.converged)
		t.Logf("%d nodes: its next incarnation is known to all after %s", size, back)
		if !ok {
			t.Errorf("%d nodes: the restarted node is not known everywhere", size)
		}
	}
}

func TestLossAndCutLinkKillNobody(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		size int
		span time.Duration
	}{{3, 2 * time.Hour}, {30, 2 * time.Minute}, {330, 10 * time.Second}} {
		if testing.Short() && c.size > 100 {
			continue
		}
		s := joined(3, c.size, 1+c.size/100)
		s.loss = 0.05
		s.cuts[[2]string{"n0", "n2"}] = true
		suspicions := 0
		s.onChange = func(observer string, change Change) {
			switch change.State {
			case StateSuspect:
				suspicions++
			case StateDead, StateUnreachable:
				t.Errorf("%d nodes: %s sees %s %s, observers %v", c.size, observer, change.Member, change.State, change.Observers)
			}
		}
		s.run(c.span)
		t.Logf("%d nodes: %d views became suspect in %s", c.size, suspicions, c.span)
	}
}

func TestFrozenNodeRefutes(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 30} {
		s := joined(4, size, 1)
		s.nodes["n1"].frozen = true
		s.run(20 * time.Second)
		if dead := s.seenBy("n1", StateDead); dead != size-1 {
			t.Errorf("%d nodes: %d see the frozen node dead", size, dead)
		}
		s.onChange = func(observer string, change Change) {
			if observer == "n1" && change.State != StateAlive {
				t.Errorf("the node that was frozen blames %s: %s", change.Member, change.State)
			}
		}
		s.thaw("n1")
		back, ok := s.until(30*time.Second, s.converged)
		t.Logf("%d nodes: thawed, it is alive to all after %s", size, back)
		if !ok {
			t.Errorf("%d nodes: the thawed node is not alive everywhere", size)
		}
	}
}

// A cut between regions makes their members unreachable to each other and dead
// to nobody; the crash of all but one node of a region is told apart.
func TestRegionCutIsNoCrash(t *testing.T) {
	t.Parallel()
	for _, size := range append(sizes()[1:], 6) {
		s := joined(5, size, 3)
		s.onChange = func(observer string, change Change) {
			if change.State == StateDead {
				t.Errorf("%d nodes: %s sees %s dead", size, observer, change.Member)
			}
		}
		s.run(2 * time.Second)
		s.counting = true
		s.cuts[[2]string{"r0", "r1"}] = true
		s.cuts[[2]string{"r0", "r2"}] = true
		outside := size - size/3
		took, ok := s.until(30*time.Second, func() bool {
			return s.seenBy("n0", StateUnreachable) == outside && s.seenBy("n1", StateUnreachable) == size/3
		})
		t.Logf("%d nodes: the cut is known to all after %s, with %s", size, took, s.cost(took))
		s.counting = false
		if !ok {
			t.Errorf("%d nodes: %d see the region unreachable", size, s.seenBy("n0", StateUnreachable))
		}
		clear(s.cuts)
		healed, ok := s.until(60*time.Second, s.converged)
		t.Logf("%d nodes: healed after %s", size, healed)
		if !ok {
			t.Errorf("%d nodes: not healed", size)
		}
	}
}

func TestCrashOfMostOfARegion(t *testing.T) {
	t.Parallel()
	const size = 30
	s := joined(6, size, 3)
	for i := 3; i < size; i += 3 {
		s.nodes[fmt.Sprintf("n%d", i)].down = true
	}
	took, ok := s.until(60*time.Second, func() bool { return s.seenBy("n27", StateDead) == len(s.up()) })
	t.Logf("the crash of 9 of a region's 10 nodes is known to all after %s", took)
	if !ok {
		t.Errorf("%d of %d see the crash, %d see a cut", s.seenBy("n27", StateDead), len(s.up()), s.seenBy("n27", StateUnreachable))
	}
}

// The cost of a node must hardly grow with the number of nodes.
func TestCostPerNode(t *testing.T) {
	t.Parallel()
	const span = 10 * time.Second
	var smallest, largest float64
	for _, size := range []int{10, 30, 100, 330} {
		s := joined(7, size, 3)
		s.run(introductionTime)
		s.counting = true
		s.run(span)
		t.Logf("%d nodes: %s", size, s.cost(span))
		largest = float64(s.bytes) / float64(size)
		if size == 10 {
			smallest = largest
		}
	}
	if largest > 1.2*smallest {
		t.Errorf("%.0f bytes per node at the largest size, %.0f at 10 nodes", largest, smallest)
	}
}
