package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
)

func TestNowFollowsTheSteadyClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := clock.Now()
		time.Sleep(1500 * time.Millisecond)
		if passed := clock.Now() - before; passed != 1500 {
			t.Errorf("%d ms passed, want 1500", passed)
		}
	})
}

func TestConversions(t *testing.T) {
	for _, test := range []struct {
		span time.Duration
		want clock.Millis
	}{
		{0, 0}, {time.Millisecond, 1}, {1999 * time.Microsecond, 1}, {time.Minute, 60000},
	} {
		if got := clock.Of(test.span); got != test.want {
			t.Errorf("%s: %d ms, want %d", test.span, got, test.want)
		}
	}
	now := clock.Now()
	if back := clock.At(now.Time()); back != now {
		t.Errorf("moment %d became %d", now, back)
	}
}
