package coldstart

import (
	"testing"
	"time"
)

// TestSharesStayWithinHalfTheBound: two sets of senders that do not know of each other
// stay within the bound together.
func TestSharesStayWithinHalfTheBound(t *testing.T) {
	for _, limits := range []Limits{{2, 1.5, 5}, {16, 1.5, 5}, {1, 1.5, 1}, {100, 1.5, 5}, {0.1, 1, 2}} {
		for owners := range 9 {
			sum := 0
			for place := range 400 {
				sum += Share(limits, place, owners)
			}
			if 2*sum > limits.Bound() {
				t.Errorf("%+v, %d owners: %d shares of %d", limits, owners, sum, limits.Bound())
			}
			if sum == 0 && limits.Bound() >= 2 {
				t.Errorf("%+v, %d owners: nobody may send", limits, owners)
			}
		}
		if Share(limits, -1, 1) != 0 {
			t.Errorf("%+v: a node that is not in the rank has a share", limits)
		}
	}
}

func TestOwnersHaveMore(t *testing.T) {
	limits := Limits{PerSecond: 16, Overage: 1.5, Slack: 5}
	if owner, other, last := Share(limits, 0, 1), Share(limits, 1, 1), Share(limits, 9, 1); owner != 7 || other != 1 || last != 0 {
		t.Errorf("owner %d, other %d, last %d", owner, other, last)
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
