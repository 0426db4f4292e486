package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Tells is whether the system tells for how long the machine was suspended.
const Tells = true

const (
	// readTries bounds the readings of the two clocks, readApart is how far apart the steady
	// clock may stand before and after that of the other: a process that was put aside
	// between them would seem to have been suspended.
	readTries = 4
	readApart = 200 * time.Microsecond
	// readSame is how near a reading has to lie to the last one to be taken as it is: two
	// readings of clocks in place of three, 0.5 us in place of 0.8 (BenchmarkAway).
	readSame = time.Millisecond
)

// last is the last reading.
var last atomic.Int64

// away compares the clock that counts suspensions with the one that does not
// (clock_gettime(2), CLOCK_BOOTTIME and CLOCK_MONOTONIC).
func away() time.Duration {
	steady := read(unix.CLOCK_MONOTONIC)
	if quick := read(unix.CLOCK_BOOTTIME) - steady; (quick - time.Duration(last.Load())).Abs() < readSame {
		return quick
	}
	best, closest := time.Duration(0), time.Duration(-1)
	for range readTries {
		before := read(unix.CLOCK_MONOTONIC)
		whole := read(unix.CLOCK_BOOTTIME)
		apart := read(unix.CLOCK_MONOTONIC) - before
		if closest < 0 || apart < closest {
			best, closest = whole-before, apart
		}
		if apart <= readApart {
			break
		}
	}
	last.Store(int64(best))
	return best
}

func read(id int32) time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(id, &spec); err != nil {
		// Both clocks are there on every Linux that Go runs on.
		panic("clock: " + err.Error())
	}
	return time.Duration(spec.Nano())
}
