package weights

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/steptest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestRollout plays the stories of testdata/rollout. Commands: engine sets what
// an engine reports; step asks for orders at a time.
func TestRollout(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		limits := Limits{SwapShare: 0.5, Backoff: time.Second, OrderTimeout: 3 * time.Second, MaxAttempts: 2}
		rollout := NewRollout(limits)
		engines := map[string]*Engine{}
		var names []string
		step := func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "engine":
				engine := Engine{Reachable: !d.HasArg("unheard")}
				d.ScanArgs(t, "name", &engine.Name)
				d.MaybeScanArgs(t, "version", &engine.Version)
				d.MaybeScanArgs(t, "loading", &engine.Loading)
				d.MaybeScanArgs(t, "error", &engine.LoadError)
				d.MaybeScanArgs(t, "running", &engine.Running)
				if engines[engine.Name] == nil {
					names = append(names, engine.Name)
				}
				engines[engine.Name] = &engine
				return ""
			case "step":
				var at, target int64
				d.ScanArgs(t, "at", &at)
				d.ScanArgs(t, "target", &target)
				var reports []Engine
				for _, name := range names {
					reports = append(reports, *engines[name])
				}
				orders := rollout.Step(start.Add(time.Duration(at)*time.Second), target, d.HasArg("pinned"), reports)
				return render(orders, rollout.Progress())
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return steptest.Run(t, d, step) })
	})
}

func render(orders []Order, progress Progress) string {
	var out strings.Builder
	for _, order := range orders {
		fmt.Fprintf(&out, "order %s -> %d, ", order.Engine, order.Version)
	}
	fmt.Fprintf(&out, "loaded %d of %d, loading %d, waiting %d", progress.Loaded, progress.Total, progress.Loading, progress.Waiting)
	if len(progress.SetAside) > 0 {
		fmt.Fprintf(&out, ", set aside %v", progress.SetAside)
	}
	if len(progress.Unheard) > 0 {
		fmt.Fprintf(&out, ", unheard %v", progress.Unheard)
	}
	return out.String() + "\n"
}

// TestRolloutReachesAllDespiteFailures loads 1,600 engines of which one load in
// ten fails, and checks that the share is never exceeded and every engine gets
// there within the target's 39 s when a load takes 3 s.
func TestRolloutReachesAllDespiteFailures(t *testing.T) {
	const engineCount, loadTime, limit = 1600, 3 * time.Second, 39 * time.Second
	random := rand.New(rand.NewSource(1))
	limits := DefaultLimits()
	rollout := NewRollout(limits)
	engines := make([]Engine, engineCount)
	loadedAt := make([]time.Time, engineCount)
	byName := map[string]int{}
	for i := range engines {
		engines[i] = Engine{Name: fmt.Sprintf("engine-%04d", i), Version: 1, Reachable: true, Running: random.Intn(16)}
		byName[engines[i].Name] = i
	}
	for now := start; now.Before(start.Add(limit)); now = now.Add(200 * time.Millisecond) {
		for i := range engines {
			if engines[i].Loading != 0 && !now.Before(loadedAt[i]) {
				engines[i].LoadError = ""
				if random.Intn(10) == 0 {
					engines[i].LoadError = "pull failed"
				} else {
					engines[i].Version = engines[i].Loading
				}
				engines[i].Loading = 0
			}
		}
		for _, order := range rollout.Step(now, 2, false, engines) {
			i := byName[order.Engine]
			engines[i].Loading, engines[i].LoadError = order.Version, ""
			loadedAt[i] = now.Add(loadTime)
		}
		if loading := rollout.Progress().Loading; loading > engineCount/4 {
			t.Fatalf("%d engines load at once", loading)
		}
		if rollout.Progress().Complete() {
			t.Logf("all %d engines after %v", engineCount, now.Sub(start))
			return
		}
	}
	t.Errorf("not complete after %v: %+v", limit, rollout.Progress())
}
