package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestForEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started := time.Now()
		if For(ctx, time.Minute) || time.Since(started) != time.Second {
			t.Errorf("waited %s", time.Since(started))
		}
		if !For(t.Context(), time.Minute) {
			t.Error("a whole wait was said to be cut")
		}
	})
}

func TestEveryWorksByTimeAndByWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		wakes := make(chan struct{}, 1)
		wakes <- struct{}{}
		count := 0
		Every(ctx, time.Second, wakes, func() { count++ })
		if count != 4 {
			t.Errorf("worked %d times, want 4", count)
		}
	})
}

func TestEveryWhileSleepsWhileThereIsNothingToDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10500*time.Millisecond)
		defer cancel()
		wakes := make(chan struct{}, 1)
		time.AfterFunc(5200*time.Millisecond, func() { wakes <- struct{}{} })
		count := 0
		active := func() bool { return count > 0 && count < 4 }
		EveryWhile(ctx, time.Second, wakes, active, func() { count++ })
		if count != 4 {
			t.Errorf("worked %d times, want once by the wake and three times by time", count)
		}
	})
}
