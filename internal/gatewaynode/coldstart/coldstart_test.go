package coldstart

import (
	"testing"
	"time"
)

// TestSharesAreHalfTheBound checks that nodes with two different views of the membership stay
// within the limit together, and that the whole half is handed out for any number of nodes.
func TestSharesAreHalfTheBound(t *testing.T) {
	for _, limits := range []Limits{{2, 1.5, 5}, {16, 1.5, 5}, {1, 1.5, 1}, {100, 1.5, 5}, {0.1, 1, 2}, {1, 1, 0}} {
		for _, nodes := range []int{1, 2, 3, 4, 7, 8, 15, 400} {
			for owners := range min(9, nodes+1) {
				sum := 0
				for rank := range 2 * nodes {
					sum += Share(limits, rank, owners, nodes)
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
			t.Errorf("%+v: a node without a rank has a share", limits)
		}
	}
}

// TestOwnersHaveMore checks that a job owner has a larger share than other nodes.
func TestOwnersHaveMore(t *testing.T) {
	limits := Limits{PerSecond: 16, Overage: 1.5, Slack: 5}
	share := func(rank int) int { return Share(limits, rank, 1, 100) }
	if owner, other, last := share(0), share(1), share(9); owner != 7 || other != 1 || last != 0 {
		t.Errorf("shares: owner %d, other %d, last %d; want 7, 1, 0", owner, other, last)
	}
}

// TestFewNodesShareAll checks that each node has several shares if there are fewer nodes than
// shares.
func TestFewNodesShareAll(t *testing.T) {
	limits := Limits{PerSecond: 16, Overage: 1.5, Slack: 5}
	for _, test := range []struct {
		nodes, owners int
		want          []int
	}{{1, 0, []int{14}}, {1, 1, []int{14}}, {3, 0, []int{5, 5, 4}}, {3, 1, []int{7, 4, 3}}, {3, 3, []int{5, 5, 4}}} {
		for rank, want := range test.want {
			if got := Share(limits, rank, test.owners, test.nodes); got != want {
				t.Errorf("rank %d, %d owners of %d nodes: %d, want %d", rank, test.owners, test.nodes, got, want)
			}
		}
	}
}

// TestLimiterWindowSlides checks that a share is counted over a sliding window.
func TestLimiterWindowSlides(t *testing.T) {
	limiter, start := NewLimiter(), time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, step := range []struct {
		ms      int
		allowed bool
	}{{0, true}, {600, true}, {700, false}, {1099, false}, {1100, true}, {1101, false}, {1700, true}} {
		if got := limiter.Allow("b", 2, at(step.ms)); got != step.allowed {
			t.Errorf("Allow at %d ms = %t, want %t", step.ms, got, step.allowed)
		}
	}
	if remaining := limiter.Remaining("b", 2, at(1800)); remaining != 0 {
		t.Errorf("%d requests remaining at 1800 ms, want 0", remaining)
	}
	if next := limiter.NextAllowed("b", 2, at(1800)); !next.Equal(at(2200)) {
		t.Errorf("next request allowed after %s, want 2.2s", next.Sub(start))
	}
	if remaining := limiter.Remaining("b", 2, at(5000)); remaining != 2 {
		t.Errorf("%d requests remaining at 5000 ms, want 2", remaining)
	}
	if limiter.Allow("b", 0, at(6000)) || !limiter.NextAllowed("b", 0, at(6000)).IsZero() {
		t.Error("a share of 0 allows a request")
	}
}
