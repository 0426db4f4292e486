package forward

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// TestHopelessRequestsShutNobodyOut: a request whose time is shorter than the work itself
// is answered late whatever others leave it.
func TestHopelessRequestsShutNobodyOut(t *testing.T) {
	const work, within = 100 * time.Millisecond, time.Second
	for _, test := range []struct {
		name       string
		work, high time.Duration
		want       time.Duration
	}{
		{"hopeless", work, work - 1, within},
		{"just in time", work, work, 60 * time.Millisecond},
		{"work not known", 0, work - 1, 59999999 * time.Nanosecond},
	} {
		u, now := newUrgency(), time.Now()
		if got := u.bound(demander{service: "s"}, 0, test.work, test.high, now); got != test.high {
			t.Errorf("%s: its own time is %s", test.name, got)
		}
		if got := u.bound(demander{service: "s"}, 1, test.work, within, now); got != test.want {
			t.Errorf("%s: %s are left to others, want %s", test.name, got, test.want)
		}
	}
}

// TestUrgencyIsToldApartByRegions: requests leave room for those that the same back ends
// may get.
func TestUrgencyIsToldApartByRegions(t *testing.T) {
	u, now := newUrgency(), time.Now()
	north, south := place.NewRegions("north"), place.NewRegions("south")
	u.bound(demander{"s", north}, 0, 0, 100*time.Millisecond, now)
	for _, test := range []struct {
		regions place.Regions
		want    time.Duration
	}{{north, 60 * time.Millisecond}, {south, time.Second}} {
		if got := u.bound(demander{"s", test.regions}, 1, 0, time.Second, now); got != test.want {
			t.Errorf("%s: %s, want %s", test.regions, got, test.want)
		}
	}
}
