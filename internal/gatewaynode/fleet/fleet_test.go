package fleet

import (
	"fmt"
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func instance(id string, revision int64, draining bool) Instance {
	return Instance{ID: id, Service: "s", Slots: 4, Draining: draining, Models: map[string]int64{"m": 1}, Revision: revision}
}

func TestOlderRevisionIsIgnored(t *testing.T) {
	fleet := New(nil)
	fleet.Update([]Instance{instance("a", 5, true)}, nil)
	fleet.Update([]Instance{instance("a", 4, false)}, nil)
	if got, _ := fleet.Get("a", now); !got.Draining {
		t.Fatal("an older revision replaced a newer one")
	}
	fleet.Replace([]Instance{instance("b", 6, false)})
	if _, found := fleet.Get("a", now); found || len(fleet.Service("s", now)) != 1 {
		t.Fatal("Replace kept an instance that is no longer listed")
	}
}

func TestMarkVersionPrecedesRegistry(t *testing.T) {
	fleet := New(nil)
	fleet.Update([]Instance{instance("a", 1, false)}, nil)
	fleet.MarkVersion("a", "m", 3)
	if got, _ := fleet.Get("a", now); got.Models["m"] != 3 {
		t.Fatalf("models %v", got.Models)
	}
	fleet.MarkVersion("a", "m", 2)
	fleet.Update([]Instance{instance("a", 2, false)}, nil)
	if got, _ := fleet.Get("a", now); got.Models["m"] != 3 {
		t.Fatalf("the version decreased: %v", got.Models)
	}
}

func TestSuspensionGrowsWithConsecutiveFailures(t *testing.T) {
	fleet := New(nil)
	fleet.Update([]Instance{instance("a", 1, false)}, nil)
	now := now
	for i, want := range []time.Duration{minSuspension, 2 * minSuspension, 4 * minSuspension} {
		fleet.ObserveFailure("a", "x", now)
		if got, _ := fleet.Get("a", now); got.SuspendedUntil.Sub(now) != want {
			t.Fatalf("failure %d: suspended for %s, want %s", i+1, got.SuspendedUntil.Sub(now), want)
		}
		now = now.Add(want)
	}
	fleet.ObserveLatency("a", time.Millisecond)
	for range 100 {
		fleet.ObserveFailure("a", "x", now)
	}
	if got, _ := fleet.Get("a", now); got.SuspendedUntil.Sub(now) != minSuspension {
		t.Fatalf("suspended for %s after concurrent failures, want %s", got.SuspendedUntil.Sub(now), minSuspension)
	}
	now = now.Add(minSuspension)
	fleet.ObserveFailure("a", "x", now)
	if got, _ := fleet.Get("a", now); got.SuspendedUntil.Sub(now) != maxSuspension {
		t.Fatalf("suspended for %s, want %s", got.SuspendedUntil.Sub(now), maxSuspension)
	}
	now = now.Add(maxSuspension)
	fleet.ObserveLatency("a", time.Millisecond)
	fleet.ObserveFailure("a", "x", now)
	if got, _ := fleet.Get("a", now); got.SuspendedUntil.Sub(now) != minSuspension {
		t.Fatal("a success did not reset the count of failures")
	}
}

func TestReportedLoadExpires(t *testing.T) {
	fleet := New(nil)
	fleet.Update([]Instance{instance("a", 1, false)}, nil)
	end := fleet.Begin("a")
	fleet.ObserveLoad("a", Load{Running: 3, Waiting: 0}, now)
	if got, _ := fleet.Get("a", now); got.Load() != 0.75 {
		t.Fatalf("load %v", got.Load())
	}
	end()
	end()
	if got, _ := fleet.Get("a", now.Add(time.Minute)); got.Load() != 0 {
		t.Fatalf("load %v a minute later", got.Load())
	}
}

func TestPaceIsWeightedByTime(t *testing.T) {
	fleet := New(nil)
	fleet.Update([]Instance{instance("a", 1, false)}, nil)
	at := now
	fleet.ObservePace("a", 40*time.Millisecond, at)
	for range 20 {
		// Twenty streams have a slow event at the same moment.
		at = at.Add(time.Millisecond)
		fleet.ObservePace("a", 400*time.Millisecond, at)
	}
	if got, _ := fleet.Get("a", at); got.Pace > 100*time.Millisecond {
		t.Fatalf("concurrent slow events raised the pace to %s", got.Pace)
	}
	for range 20 {
		at = at.Add(100 * time.Millisecond)
		fleet.ObservePace("a", 400*time.Millisecond, at)
	}
	if got, _ := fleet.Get("a", at); got.Pace < 350*time.Millisecond {
		t.Fatalf("pace after two slow seconds is %s", got.Pace)
	}
}

func TestLoadingModelExpires(t *testing.T) {
	fleet := New(nil)
	fleet.Update([]Instance{instance("a", 1, false)}, nil)
	fleet.MarkLoading("a", "m", now.Add(time.Second))
	if got, _ := fleet.Get("a", now); got.LoadingModel != "m" {
		t.Fatal("LoadingModel is not set")
	}
	if got, _ := fleet.Get("a", now.Add(2*time.Second)); got.LoadingModel != "" {
		t.Fatal("LoadingModel did not expire")
	}
}

func TestSnapshotsAreImmutable(t *testing.T) {
	fleet := New(nil)
	fleet.Update([]Instance{instance("b", 1, false), instance("a", 2, false), instance("c", 3, false)}, nil)
	before := fleet.Service("s", now)
	fleet.MarkVersion("a", "m", 7)
	if before[0].ID != "a" || before[0].Models["m"] != 1 {
		t.Fatalf("the earlier snapshot changed: %+v", before[0])
	}
	if after := fleet.Service("s", now); after[0].Models["m"] != 7 {
		t.Fatalf("the new snapshot lacks the version: %+v", after[0])
	}
}

func TestServiceListsFollowTheRegistry(t *testing.T) {
	fleet := New(nil)
	moved := instance("b", 5, false)
	moved.Service = "other"
	fleet.Update([]Instance{instance("b", 1, false), instance("a", 2, false), instance("c", 3, false)}, nil)
	fleet.Update([]Instance{moved}, []string{"c", "nobody"})
	if list := fleet.Service("s", now); len(list) != 1 || list[0].ID != "a" {
		t.Errorf("service s: %+v", list)
	}
	if list := fleet.Service("other", now); len(list) != 1 || list[0].ID != "b" {
		t.Errorf("service other: %+v", list)
	}
	if slots, models := fleet.Slots("s"); slots != 4 || models != 1 {
		t.Errorf("%d slots, %d models", slots, models)
	}
	fleet.Replace([]Instance{instance("d", 9, false)})
	if len(fleet.Service("other", now)) != 0 || len(fleet.All(now)) != 1 {
		t.Error("Replace kept instances that are no longer listed")
	}
}

func BenchmarkServiceOfThreeThousand(b *testing.B) {
	fleet := New(nil)
	for i := range 3000 {
		fleet.Update([]Instance{instance(fmt.Sprintf("i%04d", i), int64(i+1), false)}, nil)
		fleet.MarkVersion(fmt.Sprintf("i%04d", i), "m", 2)
	}
	for b.Loop() {
		fleet.Service("s", now)
	}
}

// TestRestartResetsState checks that a restart under the same id resets loaded models, pace and
// suspension, but not the requests in flight.
func TestRestartResetsState(t *testing.T) {
	backends, now := New(nil), time.Now()
	entry := Instance{ID: "a", Service: "s", Slots: 4, StartedAt: 1000, Revision: 1, Models: map[string]int64{"m": 1}}
	backends.Update([]Instance{entry}, nil)
	end := backends.Begin("a")
	backends.MarkVersion("a", "m", 7)
	backends.ObservePace("a", time.Second, now)
	backends.ObserveFailure("a", "reset", now)
	backends.MarkLoading("a", "m", now.Add(time.Minute))
	entry.Revision = 2
	backends.Update([]Instance{entry}, nil)
	if b, _ := backends.Get("a", now); b.Models["m"] != 7 || b.Pace == 0 || b.Failures != 1 {
		t.Errorf("an update without a restart reset the state: %+v", b)
	}
	entry.Revision, entry.StartedAt = 3, 2000
	backends.Update([]Instance{entry}, nil)
	if b, _ := backends.Get("a", now); b.Models["m"] != 1 || b.Pace != 0 || b.Failures != 0 || b.Suspended(now) || b.LoadingModel != "" || b.InFlight != 1 {
		t.Errorf("state was kept across a restart: %+v", b)
	}
	end()
	if b, _ := backends.Get("a", now); b.InFlight != 0 {
		t.Errorf("%d requests in flight, want 0", b.InFlight)
	}
}
