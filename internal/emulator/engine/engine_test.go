package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
)

func TestStreamNamesVersionsAcrossSwap(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		if err := f.weights.PutWeights(t.Context(), api.WeightVersion{Model: "language", Version: 2, Bytes: 1}); err != nil {
			t.Fatal(err)
		}
		answers := f.start(t.Context(), "left", request("r1"))
		if status, code := f.order("left", api.Order{Epoch: 1, Kind: api.OrderLoadVersion, Version: 2}); status != http.StatusOK {
			t.Fatal(status, code)
		}
		a := <-answers
		f.checkWhole("left", a)
		segments := a.segments("left")
		if len(segments) != 2 || segments[0].Version != 1 || segments[1].Version != 2 || a.last().TotalTokens != 60 {
			t.Errorf("segments %v of %d tokens", segments, a.last().TotalTokens)
		}
	})
}

func TestExportAndResumeYieldTheSameText(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		whole := f.generate(t.Context(), "right", request("r1"))
		f.checkWhole("right", whole)

		first := f.start(t.Context(), "left", request("r1"))
		time.Sleep(300 * time.Millisecond)
		state, err := f.control.Export(t.Context(), address("left"), api.CancelRequest{RequestID: "r1", Attempt: 1})
		if err != nil {
			t.Fatal(err)
		}
		exported := <-first
		f.checkWhole("left", exported)
		if exported.last().FinishReason != api.FinishExported || exported.text() != state.Text || state.Tokens == 0 {
			t.Fatalf("exported %+v after %q", state, exported.text())
		}

		second := request("r1")
		second.Attempt = 2
		second.Resume = &state
		resumed := f.generate(t.Context(), "right", second)
		if got := state.Text + resumed.text(); got != whole.text() {
			t.Errorf("resumed text\n%q and not\n%q", got, whole.text())
		}
		if total := resumed.last().TotalTokens; total+state.Tokens != whole.last().TotalTokens {
			t.Errorf("%d tokens after %d", total, state.Tokens)
		}
		_, err = f.control.Export(t.Context(), address("left"), api.CancelRequest{RequestID: "r1", Attempt: 1})
		if status, code := f.word(err); status != http.StatusNotFound {
			t.Errorf("second export: %d %s", status, code)
		}
	})
}

func TestCancelledByOrderAndByLostClient(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		answers := f.start(t.Context(), "left", request("r1"))
		time.Sleep(200 * time.Millisecond)
		cancelled, err := f.control.Cancel(t.Context(), address("left"), api.CancelRequest{RequestID: "r1", Attempt: 1})
		a := <-answers
		f.checkWhole("left", a)
		if err != nil || !cancelled.Cancelled || a.last().FinishReason != api.FinishCancelled {
			t.Errorf("cancelled %v, reason %s, error %v", cancelled.Cancelled, a.last().FinishReason, err)
		}

		ctx, cancel := context.WithCancel(t.Context())
		answers = f.start(ctx, "left", request("r2"))
		time.Sleep(200 * time.Millisecond)
		cancel()
		<-answers
		synctest.Wait()
		if truth := f.truth.ended(t, "left", "r2"); truth.FinishReason != api.FinishCancelled {
			t.Errorf("reason %s", truth.FinishReason)
		}
	})
}

func TestOrdersAreFenced(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		running := f.start(t.Context(), "left", request("r1"))
		time.Sleep(100 * time.Millisecond)
		steps := []struct {
			order  api.Order
			status int
			code   api.Code
		}{
			{api.Order{Epoch: 5, Kind: api.OrderSetRole, Role: api.RoleDraining}, http.StatusOK, ""},
			{api.Order{Epoch: 4, Kind: api.OrderSetRole, Role: api.RoleServing}, http.StatusConflict, api.CodeFenced},
			{api.Order{Epoch: 4, Kind: api.OrderLoadVersion, Version: 9}, http.StatusConflict, api.CodeFenced},
			{api.Order{Epoch: 5, Kind: "reboot"}, http.StatusBadRequest, api.CodeInvalid},
		}
		for _, step := range steps {
			if status, code := f.order("left", step.order); status != step.status || code != step.code {
				t.Errorf("%+v: %d %s", step.order, status, code)
			}
		}
		if a := f.generate(t.Context(), "left", request("r2")); a.status != http.StatusServiceUnavailable || a.code != api.CodeNoBackend {
			t.Errorf("draining engine answered %d %s", a.status, a.code)
		}
		f.checkWhole("left", <-running)
		time.Sleep(time.Second)
		if report := f.load("left"); report.Role != api.RoleDraining || report.OrderEpoch != 5 {
			t.Errorf("report %+v", report)
		}
	})
}

// TestLoads follows loads that wait for the store, fail and get lost.
func TestLoads(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		for version := int64(2); version <= 3; version++ {
			if err := f.weights.PutWeights(t.Context(), api.WeightVersion{Model: "language", Version: version, Bytes: 50}); err != nil {
				t.Fatal(err)
			}
		}
		// A pull takes 5 s and only one goes at a time: the second engine waits.
		// It comes a little later, so that its second try falls behind the end of
		// the first pull and not on it, where either may go first.
		f.order("left", api.Order{Kind: api.OrderLoadVersion, Version: 2})
		time.Sleep(10 * time.Millisecond)
		f.order("right", api.Order{Kind: api.OrderLoadVersion, Version: 2})
		time.Sleep(6 * time.Second)
		if left, right := f.load("left"), f.load("right"); left.Version != 2 || right.Version != 1 || right.Loading != 2 {
			t.Errorf("after 6 s: left %+v, right %+v", left, right)
		}
		time.Sleep(6 * time.Second)
		if right := f.load("right"); right.Version != 2 || right.Loading != 0 {
			t.Errorf("after 12 s: %+v", right)
		}
		if _, err := f.faults.Add(fault.Fault{Target: "left", Kind: fault.KindLoadFail, Count: 1}); err != nil {
			t.Fatal(err)
		}
		f.order("left", api.Order{Kind: api.OrderLoadVersion, Version: 3})
		f.order("right", api.Order{Kind: api.OrderLoadVersion, Version: 4})
		time.Sleep(6 * time.Second)
		if left, right := f.load("left"), f.load("right"); left.Version != 2 || left.LoadError == "" || right.LoadError == "" {
			t.Errorf("failed loads: left %+v, right %+v", left, right)
		}
		f.order("left", api.Order{Kind: api.OrderLoadVersion, Version: 3})
		time.Sleep(6 * time.Second)
		if left := f.load("left"); left.Version != 3 || left.LoadError != "" {
			t.Errorf("loaded again: %+v", left)
		}
	})
}

func TestFullQueueRefuses(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		var running []<-chan answer
		for _, id := range []string{"r1", "r2", "r3"} {
			running = append(running, f.start(t.Context(), "left", request(id)))
			time.Sleep(50 * time.Millisecond)
		}
		if a := f.generate(t.Context(), "left", request("r4")); a.status != http.StatusTooManyRequests || a.code != api.CodeOverloaded {
			t.Errorf("full engine answered %d %s", a.status, a.code)
		}
		for _, answers := range running {
			f.checkWhole("left", <-answers)
		}
	})
}

func TestStreamFaults(t *testing.T) {
	cases := []struct {
		fault fault.Fault
		check func(t *testing.T, whole, struck answer)
	}{
		{fault.Fault{Kind: fault.KindDuplicateFrames, Count: 1}, func(t *testing.T, whole, struck answer) {
			if len(struck.frames) != len(whole.frames)+1 || struck.frames[1].Sequence != 0 {
				t.Errorf("%d frames, second is %d", len(struck.frames), struck.frames[1].Sequence)
			}
		}},
		{fault.Fault{Kind: fault.KindReorderFrames, Count: 1}, func(t *testing.T, whole, struck answer) {
			if len(struck.frames) != len(whole.frames) || struck.frames[0].Sequence != 1 || struck.frames[1].Sequence != 0 {
				t.Errorf("%d frames, first is %d", len(struck.frames), struck.frames[0].Sequence)
			}
		}},
		{fault.Fault{Kind: fault.KindLostAnswer, Count: 1}, func(t *testing.T, whole, struck answer) {
			if struck.err == nil || len(struck.frames) >= len(whole.frames) {
				t.Errorf("%d frames, error %v", len(struck.frames), struck.err)
			}
		}},
		{fault.Fault{Kind: fault.KindCrash, DurationMS: 100}, func(t *testing.T, _, struck answer) {
			if struck.err == nil {
				t.Errorf("status %d with %d frames", struck.status, len(struck.frames))
			}
		}},
		{fault.Fault{Kind: fault.KindFreeze, DurationMS: 60_000}, func(t *testing.T, whole, struck answer) {
			if struck.text() != whole.text() {
				t.Errorf("text %q", struck.text())
			}
		}},
		{fault.Fault{Kind: fault.KindDown, Count: 1}, func(t *testing.T, _, struck answer) {
			if struck.status != http.StatusServiceUnavailable || struck.code != api.CodeNoBackend {
				t.Errorf("status %d %s", struck.status, struck.code)
			}
		}},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			run(t, func(t *testing.T, f *fixture) {
				whole := f.generate(t.Context(), "left", request("r1"))
				c.fault.Target = "left"
				if _, err := f.faults.Add(c.fault); err != nil {
					t.Fatal(err)
				}
				c.check(t, whole, f.generate(t.Context(), "left", request("r1")))
				time.Sleep(time.Second)
				if again := f.generate(t.Context(), "left", request("r1")); again.text() != whole.text() {
					t.Errorf("after the fault: status %d, error %v", again.status, again.err)
				}
			})
		})
	}
}

// TestCacheEventsLagAndHaveGaps reads the events of many prompts.
func TestCacheEventsLagAndHaveGaps(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		for i := range 50 {
			r := request(fmt.Sprint(i))
			r.Prompt = fmt.Sprintf("%064d", i)
			r.MaxTokens = 1
			f.generate(t.Context(), "left", r)
		}
		read := func() api.CacheEvents {
			events, err := f.control.CacheEvents(t.Context(), address("left"), 10)
			if err != nil {
				t.Fatal(err)
			}
			return events
		}
		early := len(read().Events)
		time.Sleep(time.Second)
		late := read()
		if early >= len(late.Events) || len(late.Events) >= 40 || late.Events[0].Sequence <= 10 {
			t.Errorf("%d events, later %d from %d", early, len(late.Events), late.Events[0].Sequence)
		}
	})
}

// TestLoadReportLags asks before and after the snapshot that shows the stream.
func TestLoadReportLags(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		time.Sleep(10 * time.Millisecond)
		answers := f.start(t.Context(), "left", request("r1"))
		time.Sleep(150 * time.Millisecond)
		if early := f.load("left"); early.Running != 0 {
			t.Errorf("after 160 ms: %+v", early)
		}
		time.Sleep(150 * time.Millisecond)
		if late := f.load("left"); late.Running != 1 {
			t.Errorf("after 310 ms: %+v", late)
		}
		if a := <-answers; a.last().Load == nil || a.last().Load.Running != 0 {
			t.Errorf("load of the last frame: %+v", a.last().Load)
		}
	})
}

// TestResumeImportsWithinGroup compares the times of a resumed stream whose
// prompt is cached nowhere: 2,000 tokens cost 200 ms unless they are imported.
func TestResumeImportsWithinGroup(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		took := func(engineName, handle string) time.Duration {
			r := request("r1")
			r.Prompt = strings.Repeat("long prompt.", 700)
			r.Resume = &api.KVState{RequestID: "r1", Tokens: 50, Handle: handle}
			began := time.Now()
			f.checkWhole(engineName, f.generate(t.Context(), engineName, r))
			return time.Since(began)
		}
		imported, computed := took("left", "kv/default/other/r1/50"), took("right", "kv/elsewhere/other/r1/50")
		if computed-imported < 200*time.Millisecond {
			t.Errorf("imported in %v, computed in %v", imported, computed)
		}
	})
}
