package clock_test

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
)

func TestAMachineThatIsThereIsNotAway(t *testing.T) {
	mark := clock.NewMark()
	time.Sleep(50 * time.Millisecond)
	if away := mark.Since(); away > 5*time.Millisecond {
		t.Errorf("away for %s", away)
	}
}

func TestMarksCountTimeAway(t *testing.T) {
	var away time.Duration
	defer clock.SetAway(func() time.Duration { return away })()
	mark := clock.NewMark()
	away = 3 * time.Second
	if mark.Since() != 3*time.Second || !mark.Earlier().Equal(mark.At().Add(-3*time.Second)) {
		t.Errorf("away for %s, %s before", mark.Since(), mark.At().Sub(mark.Earlier()))
	}
	if !(clock.Mark{}).Earlier().IsZero() {
		t.Error("no mark has a moment")
	}
}

// BenchmarkAway measures one reading, which every belief that counts time away costs.
func BenchmarkAway(b *testing.B) {
	for b.Loop() {
		clock.Away()
	}
}
