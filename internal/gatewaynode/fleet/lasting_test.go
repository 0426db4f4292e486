package fleet

import (
	"testing"
	"time"
)

func TestLastingPace(t *testing.T) {
	const usual = 40 * time.Millisecond
	now := time.Unix(1000, 0)
	var lasting LastingPace
	observe := func(pace time.Duration, seconds float64) {
		for range int(seconds / paceWindow.Seconds()) {
			now = now.Add(paceWindow)
			lasting = lasting.observe(pace, now)
		}
	}
	observe(usual, 1)
	if lasting.Known() {
		t.Error("known after two measurements")
	}
	observe(usual, 10)
	if !lasting.Known() || lasting.Pace != usual {
		t.Errorf("after ten seconds: %v", lasting)
	}
	observe(3*usual, 10)
	if lasting.Pace > 3*usual/2 {
		t.Errorf("ten slow seconds count as %v", lasting.Pace)
	}
	observe(usual, 2)
	if lasting.Pace > usual+usual/5 {
		t.Errorf("two seconds at its own pace after that: %v", lasting.Pace)
	}
	observe(3*usual, 300)
	if lasting.Pace < 2*usual {
		t.Errorf("slow for good counts as %v", lasting.Pace)
	}
	before := lasting
	if lasting = lasting.observe(usual, now.Add(time.Millisecond)); lasting != before {
		t.Error("events of one moment count as several measurements")
	}
}
