package batch

import (
	"testing"
	"time"
)

// TestJobExpires checks when the rows of a job may be deleted: never while it is open, but for one that
// nobody ends.
func TestJobExpires(t *testing.T) {
	const retention = 2 * time.Minute
	now := time.Now()
	for _, test := range []struct {
		name            string
		sent, seen, end time.Duration
		open            bool
		want            bool
	}{
		{name: "ended and old", sent: 3 * time.Minute, seen: 3 * time.Minute, end: time.Minute, want: true},
		{name: "ended and new", sent: time.Minute, seen: time.Minute, end: 30 * time.Second},
		{name: "ended just now", sent: time.Hour, seen: time.Hour, end: time.Second},
		{name: "old, and ended just now as far as is known", sent: time.Hour, seen: time.Minute, end: 50 * time.Second},
		{name: "open for an hour", sent: time.Hour, seen: time.Hour, open: true},
		{name: "open for a day and more", sent: 25 * time.Hour, seen: 25 * time.Hour, open: true, want: true},
		{name: "open for a day and more, seen just now", sent: 25 * time.Hour, seen: time.Minute, open: true},
	} {
		state := &jobState{
			known: true, ended: !test.open, endedAt: now.Add(-test.end), firstSeen: now.Add(-test.seen),
			head: Head{SubmittedMillis: now.Add(-test.sent).UnixMilli()},
		}
		if got := state.expired(now, retention); got != test.want {
			t.Errorf("%s: expired = %t, want %t", test.name, got, test.want)
		}
	}
	if unknown := (&jobState{ended: true}); unknown.expired(now, retention) {
		t.Error("a job without a head has expired")
	}
}
