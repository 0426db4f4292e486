package coldstart

import (
	"testing"
	"time"
)

// TestSharesAreHalfTheBound: two sets of senders that do not know of each other stay
// within the bound together, and nothing of the half is lost however few the nodes are.
func TestSharesAreHalfTheBound(t *testing.T) {
	for _, limits := range []Limits{{2, 1.5, 5}, {16, 1.5, 5}, {1, 1.5, 1}, {100, 1.5, 5}, {0.1, 1, 2}, {1, 1, 0}} {
		for _, nodes := range []int{1, 2, 3, 4, 7, 8, 15, 400} {
			for owners := range min(9, nodes+1) {
				sum := 0
				for place := range 2 * nodes {
					sum += Share(limits, place, owners, nodes)
				}
				if 2*sum > limits.Bound() {
					t.Errorf("%+v, %d owners of %d nodes: %d shares of %d", limits, owners, nodes, sum, limits.Bound())
				}
				if sum < limits.Bound()/2 {
					t.Errorf("%+v, %d owners of %d nodes: only %d shares of %d", limits, owners, nodes, sum, limits.Bound())
				}
			}
		}
		if Share(limits, -1, 1, 3) != 0 || Share(limits, 0, 0, 0) != 0 {
			t.Errorf("%+v: a node that is not in the rank has a share", limits)
		}
	}
}

func TestOwnersHaveMore(t *testing.T) {
	limits := Limits{PerSecond: 16, Overage: 1.5, Slack: 5}
	share := func(place int) int { return Share(limits, place, 1, 100) }
	if owner, other, last := share(0), share(1), share(9); owner != 7 || other != 1 || last != 0 {
		t.Errorf("owner %d, other %d, last %d", owner, other, last)
	}
}

// TestFewNodesShareAll: with fewer nodes than shares each has several.
func TestFewNodesShareAll(t *testing.T) {
	limits := Limits{PerSecond: 16, Overage: 1.5, Slack: 5}
	for _, test := range []struct {
		nodes, owners int
		want          []int
	}{{1, 0, []int{14}}, {1, 1, []int{14}}, {3, 0, []int{5, 5, 4}}, {3, 1, []int{7, 4, 3}}, {3, 3, []int{5, 5, 4}}} {
		for place, want := range test.want {
			if got := Share(limits, place, test.owners, test.nodes); got != want {
				t.Errorf("place %d, %d owners of %d nodes: %d, want %d", place, test.owners, test.nodes, got, want)
			}
		}
	}
}

func TestTurnsSlide(t *testing.T) {
	turns, start := NewTurns(), time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, step := range []struct {
		ms    int
		taken bool
	}{{0, true}, {600, true}, {700, false}, {1099, false}, {1100, true}, {1101, false}, {1700, true}} {
		if got := turns.Take("b", 2, at(step.ms)); got != step.taken {
			t.Errorf("at %d ms: %t", step.ms, got)
		}
	}
	if room := turns.Room("b", 2, at(1800)); room != 0 {
		t.Errorf("room %d", room)
	}
	if next := turns.Next("b", 2, at(1800)); !next.Equal(at(2200)) {
		t.Errorf("next %s", next.Sub(start))
	}
	if room := turns.Room("b", 2, at(5000)); room != 2 {
		t.Errorf("room after a rest %d", room)
	}
	if turns.Take("b", 0, at(6000)) || !turns.Next("b", 0, at(6000)).IsZero() {
		t.Error("without a share nothing is sent")
	}
}
