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

// expect runs until the condition holds, tells after how long it does, and fails
// the test where it does not within the limit.
func (s *simulation) expect(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	took, ok := s.until(limit, condition)
	t.Logf("%d nodes: %s after %s", len(s.nodes), what, took)
	if !ok {
		t.Errorf("%d nodes: not %s", len(s.nodes), what)
	}
	return took
}

func TestJoin(t *testing.T) {
	t.Parallel()
	for _, size := range sizes() {
		s := cluster(1, size, 1+size/100)
		s.expect(t, 30*time.Second, "started together, know each other", s.converged)
	}
}

func TestCrashIsDetected(t *testing.T) {
	t.Parallel()
	for _, size := range sizes() {
		s := joined(2, size, 1+size/100)
		s.nodes["n1"].down = true
		s.counting = true
		began := s.now
		s.expect(t, 20*time.Second, "crash known to the first", func() bool { return s.seenBy("n1", StateDead) > 0 })
		s.expect(t, 20*time.Second, "crash known to all", func() bool { return s.seenBy("n1", StateDead) == size-1 })
		t.Logf("%d nodes: meanwhile %s", size, s.cost(s.now.Sub(began)))
		s.counting = false
		s.restart("n1")
		s.expect(t, 20*time.Second, "next incarnation known to all", s.converged)
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
		s.expect(t, 30*time.Second, "the thawed node alive to all", s.converged)
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
		took := s.expect(t, 30*time.Second, "cut known to all", func() bool {
			return s.seenBy("n0", StateUnreachable) == outside && s.seenBy("n1", StateUnreachable) == size/3
		})
		t.Logf("%d nodes: meanwhile %s", size, s.cost(took))
		s.counting = false
		clear(s.cuts)
		s.expect(t, 60*time.Second, "healed", s.converged)
	}
}

func TestCrashOfMostOfARegion(t *testing.T) {
	t.Parallel()
	const size = 30
	s := joined(6, size, 3)
	for i := 3; i < size; i += 3 {
		s.nodes[fmt.Sprintf("n%d", i)].down = true
	}
	s.expect(t, 60*time.Second, "the crash of 9 of a region's 10 nodes known to all", func() bool {
		return s.seenBy("n27", StateDead) == len(s.up())
	})
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
