package forward

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// TestUnattainableBudgetIsIgnored checks that a budget shorter than the service time does not
// restrict lower ranks, since that request is late in any case.
func TestUnattainableBudgetIsIgnored(t *testing.T) {
	const serviceTime, budget = 100 * time.Millisecond, time.Second
	for _, test := range []struct {
		name              string
		serviceTime, high time.Duration
		want              time.Duration
	}{
		{"below the service time", serviceTime, serviceTime - 1, budget},
		{"equal to the service time", serviceTime, serviceTime, 60 * time.Millisecond},
		{"service time not known", 0, serviceTime - 1, 59999999 * time.Nanosecond},
	} {
		u, now := newRankBudgets(), time.Now()
		if got := u.bound(budgetKey{service: "s"}, 0, test.serviceTime, test.high, now); got != test.high {
			t.Errorf("%s: budget of rank 0 is %s, want %s", test.name, got, test.high)
		}
		if got := u.bound(budgetKey{service: "s"}, 1, test.serviceTime, budget, now); got != test.want {
			t.Errorf("%s: budget of rank 1 is %s, want %s", test.name, got, test.want)
		}
	}
}

// TestBudgetsAreSeparateByRegions checks that requests only yield to those of their regions.
func TestBudgetsAreSeparateByRegions(t *testing.T) {
	u, now := newRankBudgets(), time.Now()
	north, south := place.NewRegions("north"), place.NewRegions("south")
	u.bound(budgetKey{"s", north}, 0, 0, 100*time.Millisecond, now)
	for _, test := range []struct {
		regions place.Regions
		want    time.Duration
	}{{north, 60 * time.Millisecond}, {south, time.Second}} {
		if got := u.bound(budgetKey{"s", test.regions}, 1, 0, time.Second, now); got != test.want {
			t.Errorf("%s: budget %s, want %s", test.regions, got, test.want)
		}
	}
}
