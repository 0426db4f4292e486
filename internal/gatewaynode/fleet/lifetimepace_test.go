package fleet

import (
	"testing"
	"time"
)

func TestLifetimePace(t *testing.T) {
	const usual = 40 * time.Millisecond
	now := time.Unix(1000, 0)
	var lifetime LifetimePace
	observe := func(pace time.Duration, seconds float64) {
		for range int(seconds / paceWindow.Seconds()) {
			now = now.Add(paceWindow)
			lifetime = lifetime.observe(pace, now)
		}
	}
	observe(usual, 1)
	if lifetime.Known() {
		t.Error("Known is true after two measurements")
	}
	observe(usual, 10)
	if !lifetime.Known() || lifetime.Pace != usual {
		t.Errorf("after ten seconds: %v", lifetime)
	}
	observe(3*usual, 10)
	if lifetime.Pace > 3*usual/2 {
		t.Errorf("ten slow seconds raised the average to %v", lifetime.Pace)
	}
	observe(usual, 2)
	if lifetime.Pace > usual+usual/5 {
		t.Errorf("average is %v two seconds after the slow phase", lifetime.Pace)
	}
	observe(3*usual, 300)
	if lifetime.Pace < 2*usual {
		t.Errorf("average is %v after 300 slow seconds", lifetime.Pace)
	}
	before := lifetime
	if lifetime = lifetime.observe(usual, now.Add(time.Millisecond)); lifetime != before {
		t.Error("a measurement within paceWindow of the last was counted")
	}
}
