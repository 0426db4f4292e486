package limits

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/sliplift/sliplift/internal/steptest"
)

// TestRetryBudget runs scripts of requests and retries against one budget.
func TestRetryBudget(t *testing.T) {
	var budget *RetryBudget
	now := time.Unix(0, 0)
	step := func(t *testing.T, d *datadriven.TestData) string {
		count := 1
		d.MaybeScanArgs(t, "count", &count)
		switch d.Cmd {
		case "new":
			budget = NewRetryBudget(DefaultRetryRatio, DefaultRetryMinimum, DefaultRetryBurst, now)
			return ""
		case "sleep":
			var ms int64
			d.ScanArgs(t, "ms", &ms)
			now = now.Add(time.Duration(ms) * time.Millisecond)
			return ""
		case "request":
			for range count {
				budget.Request(now)
			}
			return ""
		case "retry", "hedge":
			take := budget.Retry
			if d.Cmd == "hedge" {
				take = budget.Hedge
			}
			granted := 0
			for range count {
				if take(now) {
					granted++
				}
			}
			return fmt.Sprintf("granted %d of %d\n", granted, count)
		}
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	}
	datadriven.RunTest(t, "testdata/budget", func(t *testing.T, d *datadriven.TestData) string { return steptest.Run(t, d, step) })
}

// TestRetryShare checks that retries stay within the share of requests plus
// the minimum, whatever the order.
func TestRetryShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		now := start
		budget := NewRetryBudget(DefaultRetryRatio, DefaultRetryMinimum, DefaultRetryBurst, now)
		requests, retries := 0, 0
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 2)).Draw(t, "steps") {
			switch step {
			case 0:
				budget.Request(now)
				requests++
			case 1:
				if budget.Retry(now) {
					retries++
				}
			case 2:
				now = now.Add(100 * time.Millisecond)
			}
		}
		allowed := 1 + DefaultRetryRatio*float64(requests) + DefaultRetryMinimum*now.Sub(start).Seconds()
		if float64(retries) > allowed+1e-6 {
			t.Fatalf("%d retries of %d requests, allowed %f", retries, requests, allowed)
		}
	})
}

func TestRetryAfter(t *testing.T) {
	service := 2 * time.Second
	cases := []struct {
		load PoolLoad
		want time.Duration
	}{
		{PoolLoad{}, time.Second},
		{PoolLoad{Running: 3, Capacity: 8, Service: service}, MinAdvice},
		{PoolLoad{Running: 8, Waiting: 7, Capacity: 8, Service: service}, 2 * time.Second},
		{PoolLoad{Running: 8, Waiting: 800, Capacity: 8, Service: service}, MaxAdvice},
	}
	for _, c := range cases {
		if got := RetryAfter(c.load); got != c.want {
			t.Errorf("%+v: %s, want %s", c.load, got, c.want)
		}
	}
}

func TestInFlight(t *testing.T) {
	var f InFlight
	var got strings.Builder
	for range 3 {
		fmt.Fprint(&got, f.Acquire("a", 2), " ")
	}
	f.Release("a")
	fmt.Fprint(&got, f.Acquire("a", 2), " ", f.Acquire("b", 0), " ", f.Count("a"))
	if want := "true true false true true 2"; got.String() != want {
		t.Errorf("got %s, want %s", got.String(), want)
	}
}
