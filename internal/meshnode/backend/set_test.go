package backend

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/steptest"
)

// fakeLoads answers load polls by address.
type fakeLoads struct {
	mu      sync.Mutex
	reports map[string]api.LoadReport
	polls   map[string]int
}

func (f *fakeLoads) Load(_ context.Context, address string) (api.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls[address]++
	report, ok := f.reports[address]
	if !ok {
		return report, errors.New("down")
	}
	report.AsOfMS = time.Now().UnixMilli()
	return report, nil
}

func (f *fakeLoads) set(address string, report api.LoadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[address] = report
}

func (f *fakeLoads) remove(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reports, address)
}

// taken returns the number of polls by address since the last call.
func (f *fakeLoads) taken() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	polls := f.polls
	f.polls = map[string]int{}
	return polls
}

// newSet returns a Set over fake load reports.
func newSet(cfg Config) (*Set, *fakeLoads) {
	lg, _ := logtest.NewNullLogger()
	loads := &fakeLoads{reports: map[string]api.LoadReport{}, polls: map[string]int{}}
	return NewSet(lg, cfg, loads), loads
}

// TestSet tells stories about one Set with back ends a, b and c of a pool p.
func TestSet(t *testing.T) {
	datadriven.Walk(t, "testdata/set", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			story := newStory(t)
			defer story.set.Close()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				return steptest.Run(t, d, story.run)
			})
		})
	})
}

type story struct {
	loads    *fakeLoads
	set      *Set
	revision int64
	tickets  map[string][]Ticket
}

func newStory(t *testing.T) *story {
	set, loads := newSet(DefaultConfig("n", "z1", "r1"))
	s := &story{loads: loads, set: set, tickets: map[string][]Ticket{}}
	for _, name := range []string{"a", "b", "c"} {
		loads.set(name, api.LoadReport{Capacity: 8, Version: 1, Role: api.RoleServing})
	}
	s.apply(nil)
	synctest.Wait()
	return s
}

func (s *story) apply(drains []string) {
	s.revision++
	state := &configlog.State{Revision: s.revision, Pools: map[string]configlog.Pool{}, Drains: map[string]configlog.Drain{}}
	pool := configlog.Pool{Name: "p", Kind: configlog.PoolEngines, MaxInFlight: 2}
	for _, name := range []string{"a", "b", "c"} {
		pool.Backends = append(pool.Backends, configlog.Backend{Name: name, Address: name, Zone: "z-" + name})
	}
	state.Pools["p"] = pool
	for _, key := range drains {
		state.Drains[key] = configlog.Drain{}
	}
	s.set.Apply(state)
}

func (s *story) run(t *testing.T, d *datadriven.TestData) string {
	var names []string
	for _, argument := range d.CmdArgs {
		names = append(names, argument.Key)
	}
	switch d.Cmd {
	case "drain":
		s.apply(names)
	case "leaving":
		s.set.SetLeaving(names)
	case "report":
		return s.report(t, d)
	case "down":
		s.loads.remove(names[0])
	case "sleep":
		duration, err := time.ParseDuration(names[0])
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(duration)
		synctest.Wait()
	case "acquire":
		ticket, ok := s.set.Acquire("p", names[0])
		if !ok {
			return "refused\n"
		}
		s.tickets[names[0]] = append(s.tickets[names[0]], ticket)
	case "release":
		s.release(names, d)
	case "show":
		return s.show()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

// report sets what a back end answers to polls from now on.
func (s *story) report(t *testing.T, d *datadriven.TestData) string {
	report := api.LoadReport{Capacity: 8, Version: 1, Role: api.RoleServing}
	d.MaybeScanArgs(t, "running", &report.Running)
	d.MaybeScanArgs(t, "version", &report.Version)
	report.Leaving = d.HasArg("leaving")
	if d.HasArg("draining") {
		report.Role = api.RoleDraining
	}
	s.loads.set(d.CmdArgs[0].Key, report)
	return ""
}

// release ends the first request to a back end; with "leaving" its answer
// carries a report that says so.
func (s *story) release(names []string, d *datadriven.TestData) {
	name := names[0]
	ticket := s.tickets[name][0]
	s.tickets[name] = s.tickets[name][1:]
	failure := FailureNone
	for _, f := range []Failure{FailureBroken, FailureUnreachable, FailureIgnored} {
		if slices.Contains(names, string(f)) {
			failure = f
		}
	}
	var load *api.LoadReport
	if d.HasArg("leaving") {
		load = &api.LoadReport{Capacity: 8, Leaving: true, AsOfMS: time.Now().UnixMilli()}
	}
	ticket.Release(failure, load)
}

func (s *story) show() string {
	pool, _ := s.set.PoolSnapshot("p")
	var shown []string
	for _, b := range pool.Backends {
		text := fmt.Sprintf("%s running=%d in_flight=%d at_report=%d", b.Name, b.Running, b.InFlight, b.ReportInFlight)
		if b.Suspect {
			text += " suspect"
		}
		if b.Draining {
			text += " draining: " + string(b.DrainReason)
		}
		shown = append(shown, text)
	}
	return strings.Join(shown, "; ") + "\n"
}

// TestSubset checks what a node watches of a large pool.
func TestSubset(t *testing.T) {
	var backends []configlog.Backend
	for i := range 300 {
		backends = append(backends, configlog.Backend{
			Name:   fmt.Sprintf("e%d", i),
			Zone:   fmt.Sprintf("z%d", i%3),
			Region: fmt.Sprintf("r%d", i%3/2),
		})
	}
	usable := func(configlog.Backend) bool { return false }
	const size, nodes = 16, 30
	watchers := map[string]int{}
	for i := range nodes {
		subset := Subset(backends, fmt.Sprintf("n%d", i), "z0", "r0", size, usable)
		again := Subset(backends, fmt.Sprintf("n%d", i), "z0", "r0", size, usable)
		if len(subset) != size || !slices.Equal(subset, again) {
			t.Fatalf("node %d: %d back ends, or not the same twice", i, len(subset))
		}
		for _, b := range subset {
			if b.Zone != "z0" {
				t.Fatalf("node %d watches %s of zone %s", i, b.Name, b.Zone)
			}
			watchers[b.Name]++
		}
	}
	if len(watchers) < 95 {
		t.Errorf("%d nodes watch only %d of 100 back ends of their zone", nodes, len(watchers))
	}
	drained := func(b configlog.Backend) bool { return b.Zone == "z0" }
	for _, b := range Subset(backends, "n", "z0", "r0", size, drained) {
		if b.Zone != "z1" {
			t.Errorf("zone z0 is drained, but %s of zone %s was taken before the rest of the region", b.Name, b.Zone)
		}
	}
}

// watched returns a Set of so many reporting back ends, of which it watches a
// subset of that size.
func watched(backends, subset int) (*Set, *fakeLoads) {
	cfg := DefaultConfig("n", "z", "r")
	cfg.SubsetSize = subset
	set, loads := newSet(cfg)
	pool := configlog.Pool{Name: "p"}
	for i := range backends {
		name := fmt.Sprintf("e%d", i)
		loads.set(name, api.LoadReport{})
		pool.Backends = append(pool.Backends, configlog.Backend{Name: name, Address: name})
	}
	set.Apply(&configlog.State{Revision: 2, Pools: map[string]configlog.Pool{"p": pool}})
	return set, loads
}

// TestPollsOnlySubset checks that what is not in the subset is not polled, and
// that polls end with the removal of a pool.
func TestPollsOnlySubset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const subset = 4
		set, loads := watched(40, subset)
		defer set.Close()
		synctest.Wait()
		set.Apply(&configlog.State{Revision: 1})
		loads.taken()
		time.Sleep(time.Minute)
		if polled := len(loads.taken()); polled != subset {
			t.Errorf("%d back ends were polled", polled)
		}
		set.Apply(&configlog.State{Revision: 3})
		synctest.Wait()
		loads.taken()
		time.Sleep(time.Minute)
		if polled := len(loads.taken()); polled != 0 {
			t.Errorf("%d back ends were polled after their removal", polled)
		}
	})
}

// TestPollRate checks that a node with many back ends polls each less often, and
// one that answers requests not at all.
func TestPollRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set, loads := watched(48, 0)
		defer set.Close()
		const seconds = 60
		for range 10 * seconds {
			time.Sleep(100 * time.Millisecond)
			if ticket, ok := set.Acquire("p", "e0"); ok {
				ticket.Release(FailureNone, &api.LoadReport{AsOfMS: time.Now().UnixMilli()})
			}
		}
		total := 0
		polls := loads.taken()
		for _, count := range polls {
			total += count
		}
		if want := set.cfg.PollRate * seconds; float64(total) > 1.1*want || float64(total) < 0.9*want {
			t.Errorf("%d polls in %d s, want about %.0f", total, seconds, want)
		}
		if polls["e0"] != 1 {
			t.Errorf("the back end that answers requests was polled %d times, want once", polls["e0"])
		}
	})
}
