package metering

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowlease"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

const (
	testSettle = 3 * time.Second
	testWindow = 5 * time.Second
	testDue    = 10 * time.Second
)

// sink is a receiver that checks fencing tokens and what callers may not do.
type sink struct {
	t       *testing.T
	mu      sync.Mutex
	fence   int64
	holders map[int64]string
	taken   map[Window]Counts
	late    map[Window]time.Duration
	acts    []act
	// fault says what becomes of a call: "", "silent", "busy", "lose", "late", "reject"
	// for the window rejected, "still" for a process that stands still before it sends, or
	// "held" for one that waits in a socket for as long as it may.
	fault    string
	rejected Window
}

// act is a call as it came.
type act struct {
	holder string
	token  int64
	at     time.Time
}

func newSink(t *testing.T) *sink {
	return &sink{t: t, holders: make(map[int64]string), taken: make(map[Window]Counts), late: make(map[Window]time.Duration)}
}

func (s *sink) set(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *sink) Report(ctx context.Context, permit rowlease.Permit, report Report) error {
	holder, token := permit.Holder, permit.Token
	s.mu.Lock()
	fault, rejected := s.fault, s.rejected
	s.mu.Unlock()
	if fault == "still" {
		time.Sleep(standsStill)
	}
	if err := permit.Admit(); err != nil {
		return err
	}
	if fault == "held" {
		time.Sleep(time.Until(permit.Until))
	}
	s.mu.Lock()
	s.acts = append(s.acts, act{holder, token, time.Now()})
	s.mu.Unlock()
	report.Counts = maps.Clone(report.Counts)
	switch fault {
	case "silent":
		<-ctx.Done()
		return ctx.Err()
	case "busy":
		return ErrBusy
	case "reject":
		if report.Window == rejected {
			return ErrRejected
		}
	case "late":
		time.AfterFunc(4*time.Second, func() { _ = s.take(holder, token, report) })
		<-ctx.Done()
		return ctx.Err()
	}
	err := s.take(holder, token, report)
	if fault == "lose" {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (s *sink) take(holder string, token int64, report Report) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.fence {
		return ErrFenced
	}
	s.fence = token
	if known := s.holders[token]; known != "" && known != holder {
		s.t.Errorf("%s and %s used the token %d", known, holder, token)
	}
	s.holders[token] = holder
	before, found := s.taken[report.Window]
	if found && !maps.Equal(before, report.Counts) {
		s.t.Errorf("window %d was reported as %v and as %v", report.Window, before, report.Counts)
	}
	if !found {
		s.taken[report.Window] = report.Counts
		s.late[report.Window] = time.Since(report.Window.end(testWindow)) - testDue
	}
	return nil
}

// standsStill is for how long a process stands still: long enough for another node to
// take the lease and to act.
const standsStill = 9 * time.Second

// checkTurns fails the test where a holder acts again within the settling time of its
// last act though another one acted in between, or where a token came after a higher one:
// not every receiver checks tokens.
func (s *sink) checkTurns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.acts {
		if i > 0 && s.acts[i].token < s.acts[i-1].token {
			s.t.Errorf("token %d of %s came after %d", s.acts[i].token, s.acts[i].holder, s.acts[i-1].token)
		}
		for j := i + 1; j < len(s.acts) && s.acts[j].at.Sub(s.acts[i].at) < testSettle; j++ {
			if s.acts[j].holder != s.acts[i].holder {
				s.t.Errorf("%s acted %s after %s", s.acts[j].holder, s.acts[j].at.Sub(s.acts[i].at), s.acts[i].holder)
				return
			}
		}
	}
}

// meter is a node with what it counts and reports.
type meter struct {
	name     string
	way      *rowstoretest.Way
	counter  *Counter
	reporter *Reporter
	kill     func()
	killed   atomic.Bool
}

// system is some meters over one store and one sink.
type system struct {
	t      *testing.T
	store  *rowstoretest.Store
	sink   *sink
	meters []*meter
	// truth is what requests began.
	truth map[Window]Counts
	// shift is added to the time of day of a node, by name.
	shift map[string]time.Duration
}

func newSystem(t *testing.T, nodes int) *system {
	s := &system{t: t, store: rowstoretest.New(), sink: newSink(t), truth: make(map[Window]Counts), shift: make(map[string]time.Duration)}
	for i := range nodes {
		s.meters = append(s.meters, s.start(fmt.Sprintf("n%d", i), 1))
	}
	return s
}

// start begins a process of a node.
func (s *system) start(name string, incarnation int64) *meter {
	s.t.Helper()
	ctx, cancel := context.WithCancel(s.t.Context())
	log := eventlog.New(logrus.New(), io.Discard)
	way := rowstoretest.NewWay(s.store, time.Second)
	pacing := rowstore.Pacing{Fresh: time.Second, Nodes: func() int { return 3 }}
	registry := presence.New(log, way, presence.Node{Name: name, Incarnation: incarnation, State: presence.Ready}, 0, pacing)
	leases := rowlease.NewLeases(log, way, pacing)
	m := &meter{name: name, way: way}
	m.counter = NewCounter(CounterConfig{
		Store: way, Log: log, Node: name, Incarnation: incarnation, Window: testWindow, Interval: pacing.UsageInterval,
	})
	m.reporter = NewReporter(Config{
		Store: way, Presence: registry, Leases: leases, Timing: rowlease.Timing{Settle: testSettle}, Log: log, Sink: s.sink,
		Now: time.Now, Window: testWindow, Due: testDue, RowBytes: 65536, CallsPerSecond: 50,
	})
	var group sync.WaitGroup
	for _, run := range []func(context.Context){registry.View().Run, registry.Run, leases.Run, m.counter.Run, m.reporter.Run} {
		group.Go(func() { run(ctx) })
	}
	m.kill = sync.OnceFunc(func() {
		m.killed.Store(true)
		cancel()
		group.Wait()
		log.Close()
	})
	s.t.Cleanup(m.kill)
	return m
}

// request counts a request at a node.
func (s *system) request(node int, tenant string) {
	now := time.Now()
	window := windowAt(now, testWindow)
	if s.truth[window] == nil {
		s.truth[window] = make(Counts)
	}
	s.truth[window][tenant]++
	s.meters[node].counter.Count(tenant, now)
}

// serve sends requests to all nodes for a while.
func (s *system) serve(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(70 * time.Millisecond) {
		node := int(time.Now().UnixMilli()/70) % len(s.meters)
		if s.meters[node].killed.Load() {
			continue
		}
		s.request(node, fmt.Sprintf("t%d", time.Now().UnixMilli()/70%5))
	}
}

// holder returns the meter that reports, nil if none does.
func (s *system) holder() *meter {
	for _, m := range s.meters {
		if m.reporter.lease.Held() {
			return m
		}
	}
	return nil
}

// checkExact fails the test unless every window of the truth was reported as it was,
// but for those within slack of lost counts, and none later than allowed.
func (s *system) checkExact(lost int64, late time.Duration) {
	s.t.Helper()
	s.sink.mu.Lock()
	defer s.sink.mu.Unlock()
	missing := int64(0)
	for window, counts := range s.truth {
		reported, found := s.sink.taken[window]
		if !found {
			s.t.Errorf("window %d with %d requests was not reported", window, counts.total())
			continue
		}
		for tenant, count := range counts {
			if reported[tenant] > count {
				s.t.Errorf("window %d, %s: %d reported, %d began", window, tenant, reported[tenant], count)
			}
			missing += count - reported[tenant]
		}
		if s.sink.late[window] > late {
			s.t.Errorf("window %d was reported %s after it was due", window, s.sink.late[window])
		}
	}
	if missing > lost {
		s.t.Errorf("%d requests were not reported, %d may be lost", missing, lost)
	}
}

// TestUseIsReportedWhole: without faults every window is reported once, in time and
// exactly, and the store holds no rows of old windows.
func TestUseIsReportedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 3)
		time.Sleep(6 * time.Second)
		s.serve(31 * time.Second)
		time.Sleep(12 * time.Second)
		s.checkExact(0, 0)
		if rows := len(s.store.Rows(TableUsage)); rows != 0 {
			t.Errorf("%d rows are left", rows)
		}
	})
}

// TestUseUnderFaults: each row is a fault during a time of requests, how many of the
// requests may be missing from the reports, and how late a report may be.
func TestUseUnderFaults(t *testing.T) {
	const never = time.Hour
	for _, test := range []struct {
		name  string
		fault func(s *system)
		mend  func(s *system)
		lost  int64
		late  time.Duration
	}{
		{"holder killed", func(s *system) { s.holder().kill() }, nil, 12, 0},
		{"holder cut off", func(s *system) { s.holder().way.Set(rowstoretest.Silenced) }, open, 45, 0},
		{"holder turned away", func(s *system) { s.holder().way.Set(rowstoretest.Refused) }, open, 60, 0},
		{"answers of the store lost", func(s *system) { s.store.SetFaults(rowstoretest.Faults{LoseAnswers: true}) }, mend, 0, 5 * time.Second},
		{"writes carried out late", func(s *system) { s.store.SetFaults(rowstoretest.Faults{Late: 2 * time.Second}) }, mend, 0, 8 * time.Second},
		{"store away", func(s *system) { s.store.SetFaults(rowstoretest.Faults{Refuse: true}) }, mend, 0, 8 * time.Second},
		{"platform silent", func(s *system) { s.sink.set("silent") }, mend, 0, 8 * time.Second},
		{"platform busy", func(s *system) { s.sink.set("busy") }, mend, 0, 8 * time.Second},
		{"answers of the platform lost", func(s *system) { s.sink.set("lose") }, mend, 0, 0},
		{"calls carried out late", func(s *system) { s.sink.set("late") }, mend, 0, 8 * time.Second},
		{"calls carried out late, then the holder killed", func(s *system) {
			s.sink.set("late")
			holder := s.holder()
			time.AfterFunc(3*time.Second, holder.kill)
		}, mend, 12, 8 * time.Second},
		{"all killed", func(s *system) {
			for i, m := range s.meters {
				m.kill()
				s.meters[i] = s.start(m.name, 2)
			}
		}, nil, 12, 0},
		{"holder stands still before it sends", func(s *system) {
			s.sink.set("still")
			s.holder().way.Set(rowstoretest.Silenced)
			time.AfterFunc(time.Second, func() { s.sink.set("") })
		}, open, 60, 8 * time.Second},
		{"calls held in a socket", func(s *system) { s.sink.set("held") }, mend, 0, 8 * time.Second},
		{"calls held in a socket, then the holder cut off", func(s *system) {
			s.sink.set("held")
			holder := s.holder()
			time.AfterFunc(2*time.Second, func() { holder.way.Set(rowstoretest.Silenced) })
		}, func(s *system) { open(s); mend(s) }, 60, 8 * time.Second},
		{"planned stop of the holder while a call is under way", func(s *system) {
			s.sink.set("held")
			holder := s.holder()
			time.AfterFunc(2200*time.Millisecond, func() {
				holder.reporter.Withdraw()
				holder.reporter.Release()
			})
		}, mend, 0, 8 * time.Second},
		{"planned stop of the holder", func(s *system) {
			holder := s.holder()
			holder.reporter.Withdraw()
			holder.reporter.Release()
		}, nil, 0, 0},
		{"two reports of one window", func(s *system) {
			s.sink.mu.Lock()
			defer s.sink.mu.Unlock()
			s.sink.fence++
		}, nil, 0, never},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, 3)
				time.Sleep(6 * time.Second)
				s.serve(8 * time.Second)
				test.fault(s)
				s.serve(9 * time.Second)
				if test.mend != nil {
					test.mend(s)
				}
				s.serve(12 * time.Second)
				time.Sleep(15 * time.Second)
				s.checkExact(test.lost, test.late)
				s.sink.checkTurns()
			})
		})
	}
}

func open(s *system) {
	for _, m := range s.meters {
		m.way.Set(rowstoretest.Open)
	}
}

func mend(s *system) {
	s.store.SetFaults(rowstoretest.Faults{})
	s.sink.set("")
}

// TestRejectedReportHoldsNothingUp: a report that the platform will never take is given
// up, and those after it are sent.
func TestRejectedReportHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 3)
		time.Sleep(6 * time.Second)
		lost := windowAt(time.Now(), testWindow) + 1
		s.sink.mu.Lock()
		s.sink.fault, s.sink.rejected = "reject", lost
		s.sink.mu.Unlock()
		s.serve(24 * time.Second)
		time.Sleep(12 * time.Second)
		delete(s.truth, lost)
		s.checkExact(0, 0)
	})
}

// TestUseUnderFaultsByChance cuts nodes off, kills and restarts them and disturbs store
// and platform by chance; whatever happens, no window leaves with two counts, no two
// holders share a token, and nothing is reported that did not begin.
func TestUseUnderFaultsByChance(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 3))
				s := newSystem(t, 3)
				incarnation := int64(1)
				time.Sleep(6 * time.Second)
				for range 30 {
					node := random.IntN(len(s.meters))
					switch random.IntN(8) {
					case 0:
						s.meters[node].way.Set(rowstoretest.Silenced)
					case 1:
						s.store.SetFaults(rowstoretest.Faults{LoseAnswers: true})
					case 2:
						s.store.SetFaults(rowstoretest.Faults{Late: time.Duration(1+random.IntN(4)) * time.Second})
					case 3:
						s.sink.set([]string{"silent", "busy", "lose", "late"}[random.IntN(4)])
					case 4:
						incarnation++
						s.meters[node].kill()
						s.meters[node] = s.start(s.meters[node].name, incarnation)
					default:
						open(s)
						mend(s)
					}
					s.serve(time.Duration(500+random.IntN(2500)) * time.Millisecond)
				}
				open(s)
				mend(s)
				time.Sleep(40 * time.Second)
				s.checkExact(1<<40, time.Hour)
				s.sink.mu.Lock()
				defer s.sink.mu.Unlock()
				if len(s.sink.taken) < 6 {
					t.Errorf("%d windows were reported: the run tests nothing", len(s.sink.taken))
				}
			})
		})
	}
}
