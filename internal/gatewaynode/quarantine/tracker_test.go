package quarantine

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// scene is the Tracker of one node, with backends whose state a script sets.
type scene struct {
	tracker  *Tracker
	store    *rowstoretest.Store
	backends map[string]Registered
	// dials maps backends to the outcome of a dial: "refused", "silent" (a timeout) or, by
	// default, success.
	dials  map[string]string
	traces map[string]upstream.Trace
	// cut lists the cancelled calls since the last show.
	cut []string
}

func newScene() *scene {
	s := &scene{
		store: rowstoretest.New(), backends: make(map[string]Registered), dials: make(map[string]string),
		traces: make(map[string]upstream.Trace),
	}
	s.tracker = New(Config{Node: "n1", Store: s.store, Dial: s.dial, Backend: func(id string) Registered { return s.backends[id] }})
	return s
}

func (s *scene) dial(ctx context.Context, _, address string) (net.Conn, error) {
	switch s.dials[address] {
	case "refused":
		return nil, syscall.ECONNREFUSED
	case "silent":
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

// workOf returns a fingerprint that spells a name, for nameOf.
func workOf(name string) fingerprint.Fingerprint {
	var f fingerprint.Fingerprint
	copy(f[:], name)
	return f
}

func nameOf(f fingerprint.Fingerprint) string { return strings.TrimRight(string(f[:]), "\x00") }

var endNames = map[string]upstream.End{
	"whole": upstream.EndComplete, "not-run": upstream.EndNotRun, "lost": upstream.EndLost, "given-up": upstream.EndCancelled, "unusable": upstream.EndMalformed,
}

func arg(d *datadriven.TestData, name, otherwise string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name && len(a.Vals) > 0 {
			return a.Vals[0]
		}
	}
	return otherwise
}

// act runs one command of a script. Its first argument is a call, a backend, a work or a
// duration, depending on the command.
func (s *scene) act(d *datadriven.TestData) (string, error) {
	name := ""
	if len(d.CmdArgs) > 0 {
		name = d.CmdArgs[0].Key
	}
	switch d.Cmd {
	case "backend":
		s.backends[name] = Registered{Present: arg(d, "registry", "present") != "gone", Leaving: arg(d, "registry", "") == "leaving"}
		s.dials[name] = arg(d, "dial", "")
		s.tracker.RegistryChanged()
	case "begin":
		at := arg(d, "at", "")
		purpose := upstream.Purpose(arg(d, "for", string(upstream.PurposeLive)))
		s.traces[name] = s.tracker.Begin(&upstream.Call{ID: name, Purpose: purpose, Work: workOf(arg(d, "work", "")), Instance: at, Address: at}, func() { s.cut = append(s.cut, name) })
	case "heard":
		s.traces[name].Heard()
	case "end":
		status := 0
		_, _ = fmt.Sscan(arg(d, "status", "0"), &status)
		s.traces[name].End(endNames[arg(d, "as", "lost")], status)
	case "row":
		end := Failure{Work: workOf(arg(d, "work", "")), Backend: name, Kind: FailureRefused, Node: "n2", Durable: arg(d, "durable", "") != ""}
		row := rowOf(end)
		row.Deleted = arg(d, "deleted", "") != ""
		s.tracker.Apply([]rowstore.Row{row}, false)
	case "told":
		s.tracker.ReceiveFailures(EncodeFailures([]Failure{{Work: workOf(arg(d, "work", "")), Backend: name, Kind: FailureRefused, Node: "n2"}}))
	case "age":
		s.tracker.age(time.Now())
	case "lift":
		return fmt.Sprintln(s.tracker.Clear(workOf(name))), nil
	case "try":
		return fmt.Sprintln(s.tracker.Try(context.Background(), workOf(name))), nil
	case "write":
		s.tracker.write(context.Background(), Writer{})
	case "sleep":
		span, err := time.ParseDuration(name)
		if err != nil {
			return "", err
		}
		time.Sleep(span)
	default:
		return "", errors.New("unknown command " + d.Cmd)
	}
	synctest.Wait()
	return s.show(), nil
}

// show returns the suspected works with their failures, the lengths of the queue, and the calls
// that were cancelled since the last show.
func (s *scene) show() string {
	var out strings.Builder
	for _, suspect := range s.tracker.Suspects() {
		held := ""
		if suspect.Held {
			held = " quarantined"
		}
		fmt.Fprintf(&out, "%s:", nameOf(suspect.Work))
		for _, end := range suspect.Failures {
			fmt.Fprintf(&out, " %s/%s", end.id(), end.Kind)
			if end.Durable {
				fmt.Fprint(&out, "/durable")
			}
		}
		if left := s.tracker.Backoff(suspect.Work).Left(time.Now()); left > 0 {
			fmt.Fprintf(&out, " backs off for %v", left)
		}
		fmt.Fprintln(&out, held)
	}
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	if puts, deletes := len(s.tracker.outbox.puts), len(s.tracker.outbox.deletes); puts+deletes > 0 {
		fmt.Fprintf(&out, "to write: %d, to delete: %d\n", puts, deletes)
	}
	if len(s.cut) > 0 {
		slices.Sort(s.cut)
		fmt.Fprintf(&out, "cut: %s\n", strings.Join(s.cut, " "))
		s.cut = nil
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

// TestTracker runs the script in virtual time. The command "new" starts with an empty Tracker.
func TestTracker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		datadriven.RunTest(t, "testdata/tracker", func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				s = newScene()
				return ""
			}
			got, err := s.act(d)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			return got
		})
	})
}

// TestTrackerBounds checks that a full Tracker evicts the works with the fewest failures and that
// the queue stays bounded.
func TestTrackerBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		for i := range 2 * maxSuspects {
			for e := range 1 + 2*((i+1)%2)*((i+2)/2%2) {
				s.tracker.ReceiveFailures(EncodeFailures([]Failure{{Work: workOf(fmt.Sprint("w", i)), Backend: fmt.Sprint("b", e), Kind: FailureRefused, Node: "n2"}}))
			}
		}
		held, suspected := s.tracker.HeldCount()
		if suspected != maxSuspects || held != maxSuspects/2 {
			t.Errorf("%d works suspected, %d of them quarantined; want %d, %d", suspected, held, maxSuspects, maxSuspects/2)
		}
		if waiting := len(s.tracker.outbox.deletes); waiting > maxQueuedRows {
			t.Errorf("%d deletions queued, want at most %d", waiting, maxQueuedRows)
		}
	})
}

// TestCallsOverBoundAreNotFollowed checks that a call above maxRuns is counted, that its
// loss is no evidence and that its success still clears its work.
func TestCallsOverBoundAreNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		s.backends["b1"], s.dials["b1"] = Registered{Present: true}, "refused"
		for range maxRuns {
			s.tracker.Begin(&upstream.Call{Work: workOf("other"), Instance: "b2", Address: "b2"}, func() {})
		}
		over := func() upstream.Trace {
			return s.tracker.Begin(&upstream.Call{Work: workOf("w"), Instance: "b1", Address: "b1"}, func() {})
		}
		over().End(upstream.EndLost, 0)
		synctest.Wait()
		if _, suspected := s.tracker.HeldCount(); suspected > 0 {
			t.Error("the loss of a call that is not followed counts as evidence")
		}
		s.tracker.ReceiveFailures(EncodeFailures([]Failure{{Work: workOf("w"), Backend: "b3", Kind: FailureRefused, Node: "n2"}}))
		over().End(upstream.EndComplete, 200)
		if _, suspected := s.tracker.HeldCount(); suspected > 0 {
			t.Error("the success of a call that is not followed does not clear its work")
		}
		if calls, _ := s.tracker.Dropped(); calls != 2 {
			t.Errorf("%d calls were not followed, want 2", calls)
		}
	})
}

// TestOneRowPerFailure checks that two nodes that detect the same failure write the
// same row.
func TestOneRowPerFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScene()
		second := New(Config{Node: "n2", Store: s.store, Dial: s.dial, Backend: func(string) Registered { return Registered{Present: true} }})
		s.backends["b1"], s.dials["b1"] = Registered{Present: true}, "refused"
		for _, tracker := range []*Tracker{s.tracker, second} {
			tracker.Begin(&upstream.Call{Work: workOf("w"), Instance: "b1", Address: "b1"}, func() {}).End(upstream.EndLost, 0)
			synctest.Wait()
			tracker.write(t.Context(), Writer{})
		}
		rows := s.store.Rows(Table)
		if len(rows) != 1 {
			t.Errorf("%d rows, want 1: %v", len(rows), rows)
		}
		if held := slices.Collect(maps.Keys(s.tracker.outbox.puts)); len(held) > 0 {
			t.Errorf("still queued: %v", held)
		}
	})
}
