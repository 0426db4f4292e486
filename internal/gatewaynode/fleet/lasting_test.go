package fleet

import (
	"testing"
	"time"
)

func TestLastingPace(t *testing.T) {
	const usual = 40 * time.Millisecond
	now := time.Unix(1000, 0)
	var lasting LifetimePace
	observe := func(pace time.Duration, seconds float64) {
		for range int(seconds / paceWindow.Seconds()) {
			now = now.Add(paceWindow)
			lasting = lasting.observe(pace, now)
		}
	}
	observe(usual, 1)
	if lasting.Known() {
		t.Error("Known is true after two measurements")
	}
	observe(usual, 10)
	if !lasting.Known() || lasting.Pace != usual {
		t.Errorf("after ten seconds: %v", lasting)
	}
	observe(3*usual, 10)
	if lasting.Pace > 3*usual/2 {
		t.Errorf("ten slow seconds raised the average to %v", lasting.Pace)
	}
	observe(usual, 2)
	if lasting.Pace > usual+usual/5 {
		t.Errorf("average is %v two seconds after the slow phase", lasting.Pace)
	}
	observe(3*usual, 300)
	if lasting.Pace < 2*usual {
		t.Errorf("average is %v after 300 slow seconds", lasting.Pace)
	}
	before := lasting
	if lasting = lasting.observe(usual, now.Add(time.Millisecond)); lasting != before {
		t.Error("a measurement within paceWindow of the last was counted")
	}
}
