package batch_test

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/batch"
	"github.com/sliplift/sliplift/internal/steptest"
)

// config returns an engine with round figures: a step takes 10 ms plus 1 ms a
// stream, answers have 10 tokens unless a test bounds them.
func config() batch.Config {
	return batch.Config{
		Capacity:        2,
		QueueLimit:      2,
		StepBase:        10 * time.Millisecond,
		StepPerStream:   time.Millisecond,
		PrefillPerToken: time.Millisecond,
		ImportTime:      5 * time.Millisecond,
		CacheBlocks:     4,
		BlockTokens:     1,
		Version:         1,
		Lengths:         batch.LengthModel{MedianTokens: 10},
	}
}

// TestMachine runs the stories in testdata. Times are in milliseconds.
//
//	new [capacity=N] [queue=N] [blocks=N]
//	submit at=MS id=ID prompt=TEXT [priority=N] [max=N] [resumed=N] [imported]
//	cancel at=MS id=ID
//	swap at=MS version=N pause=MS [failure=TEXT]
//	advance to=MS
//	next
//	load
func TestMachine(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		machine := batch.NewMachine(config())
		step := func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				machine = newMachine(t, d)
				return ""
			}
			return command(t, machine, d)
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return steptest.Run(t, d, step) })
	})
}

func newMachine(t *testing.T, d *datadriven.TestData) *batch.Machine {
	c := config()
	d.MaybeScanArgs(t, "capacity", &c.Capacity)
	d.MaybeScanArgs(t, "queue", &c.QueueLimit)
	d.MaybeScanArgs(t, "blocks", &c.CacheBlocks)
	return batch.NewMachine(c)
}

func command(t *testing.T, machine *batch.Machine, d *datadriven.TestData) string {
	var at, to, pause int
	d.MaybeScanArgs(t, "at", &at)
	now := milliseconds(at)
	switch d.Cmd {
	case "submit":
		return errorText(machine.Submit(now, submission(t, d)))
	case "cancel":
		var id string
		d.ScanArgs(t, "id", &id)
		progress, err := machine.Cancel(now, batch.Key{RequestID: id})
		if err != nil {
			return errorText(err)
		}
		return fmt.Sprintf("%v from %d\n", progress.Segments, progress.Start)
	case "swap":
		var swap batch.Swap
		d.ScanArgs(t, "version", &swap.Version)
		d.ScanArgs(t, "pause", &pause)
		d.MaybeScanArgs(t, "failure", &swap.Failure)
		swap.Pause = milliseconds(pause)
		return errorText(machine.BeginLoad(now, swap))
	case "advance":
		d.ScanArgs(t, "to", &to)
		return eventsText(machine.Advance(milliseconds(to)))
	case "next":
		next, running := machine.NextEventAt()
		return fmt.Sprintf("%v %v\n", next, running)
	case "load":
		return fmt.Sprintf("%+v\n%+v\n", machine.Load(), machine.Totals())
	}
	t.Fatalf("command %s", d.Cmd)
	return ""
}

func submission(t *testing.T, d *datadriven.TestData) batch.Request {
	request := batch.Request{Priority: api.PriorityTraining, Imported: d.HasArg("imported")}
	var priority int
	d.ScanArgs(t, "id", &request.Key.RequestID)
	d.ScanArgs(t, "prompt", &request.Prompt)
	d.MaybeScanArgs(t, "max", &request.MaxTokens)
	d.MaybeScanArgs(t, "resumed", &request.Resumed)
	if d.MaybeScanArgs(t, "priority", &priority) {
		request.Priority = api.Priority(priority)
	}
	return request
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func errorText(err error) string {
	for _, known := range []error{batch.ErrDuplicate, batch.ErrQueueFull, batch.ErrLoading, batch.ErrUnknownStream} {
		if errors.Is(err, known) {
			return known.Error() + "\n"
		}
	}
	if err != nil {
		return "unexpected: " + err.Error() + "\n"
	}
	return ""
}

func eventsText(events []batch.Event) string {
	var text strings.Builder
	for _, event := range events {
		fmt.Fprintf(&text, "%v %s", event.At, event.Kind)
		switch event.Kind {
		case batch.EventStarted, batch.EventPreempted:
			fmt.Fprintf(&text, " %s", event.Key.RequestID)
		case batch.EventEnded:
			fmt.Fprintf(&text, " %s %s %v", event.Key.RequestID, event.Reason, event.Progress.Segments)
		case batch.EventLoaded, batch.EventLoadFailed:
			fmt.Fprintf(&text, " %d %s", event.Version, event.Failure)
		case batch.EventCached, batch.EventEvicted:
			fmt.Fprintf(&text, " %016x", event.Block)
		}
		text.WriteByte('\n')
	}
	return text.String()
}

// TestEqualStepsAtOnceChangeNothing advances one machine in single steps and
// another in leaps, under the same random calls.
func TestEqualStepsAtOnceChangeNothing(t *testing.T) {
	for seed := range int64(20) {
		fine, coarse := randomRun(t, seed, time.Millisecond), randomRun(t, seed, time.Hour)
		if !slices.Equal(fine, coarse) {
			t.Fatalf("seed %d: events differ\n%s\nand\n%s", seed, strings.Join(fine, ""), strings.Join(coarse, ""))
		}
	}
}

// randomRun makes random calls at random times, and besides advances the
// machine every interval, and returns all events.
func randomRun(t *testing.T, seed int64, interval time.Duration) []string {
	t.Helper()
	random := rand.New(rand.NewSource(seed))
	c := config()
	c.QueueLimit = 0
	c.Lengths.Sigma = 1
	machine := batch.NewMachine(c)
	var events []string
	now := time.Duration(0)
	collect := func(at time.Duration) {
		for _, event := range machine.Advance(at) {
			events = append(events, eventsText([]batch.Event{event}))
		}
	}
	for call := range 100 {
		next := now + time.Duration(random.Intn(200_000))*time.Microsecond
		for now+interval < next {
			now += interval
			collect(now)
		}
		now = next
		key := batch.Key{RequestID: fmt.Sprint(call)}
		switch random.Intn(10) {
		case 0:
			_, _ = machine.Cancel(now, batch.Key{RequestID: fmt.Sprint(call - 1)})
		case 1:
			_ = machine.BeginLoad(now, batch.Swap{Version: int64(call), Pause: 50 * time.Millisecond})
		default:
			request := batch.Request{Key: key, Prompt: fmt.Sprintf("%08d", random.Intn(5)), Priority: api.Priority(random.Intn(3))}
			if err := machine.Submit(now, request); err != nil {
				t.Fatal(err)
			}
		}
	}
	collect(now + time.Hour)
	if load := machine.Load(); load.Running+load.Waiting != 0 {
		t.Fatalf("seed %d: load %+v at the end", seed, load)
	}
	return events
}

// TestLengthsHaveALongTail checks the distribution of lengths.
func TestLengthsHaveALongTail(t *testing.T) {
	model := batch.LengthModel{MedianTokens: 100, Sigma: 1}
	lengths := make([]int, 0, 10_001)
	for i := range cap(lengths) {
		lengths = append(lengths, model.Length(batch.PromptHash("prompt"), fmt.Sprint(i)))
	}
	slices.Sort(lengths)
	median, percentile99 := lengths[len(lengths)/2], lengths[len(lengths)*99/100]
	// The 99th percentile of this distribution is 100*exp(2.326), that is 1024.
	if median < 95 || median > 105 || percentile99 < 900 || percentile99 > 1150 {
		t.Errorf("median %d, 99th percentile %d", median, percentile99)
	}
}

// BenchmarkMachine measures a stream of the default engine under load.
func BenchmarkMachine(b *testing.B) {
	machine := batch.NewMachine(batch.DefaultConfig())
	now := time.Duration(0)
	for i := range b.N {
		now += 100 * time.Millisecond
		request := batch.Request{Key: batch.Key{RequestID: fmt.Sprint(i)}, Prompt: "a prompt of forty characters, more or so"}
		if err := machine.Submit(now, request); err != nil && !errors.Is(err, batch.ErrQueueFull) {
			b.Fatal(err)
		}
		machine.Advance(now)
	}
}

// TestTextTellsPromptVersionAndPosition checks that a token out of place, or of
// the wrong version or prompt, shows in the text.
func TestTextTellsPromptVersionAndPosition(t *testing.T) {
	text := func(prompt string, start int, version int64, tokens int) string {
		return batch.Text(batch.PromptHash(prompt), start, []batch.Segment{{Version: version, Tokens: tokens}})
	}
	whole := text("a", 0, 1, 1000)
	if joined := text("a", 0, 1, 400) + text("a", 400, 1, 600); joined != whole {
		t.Error("two parts differ from the whole")
	}
	words := strings.Fields(whole)
	slices.Sort(words)
	if distinct := len(slices.Compact(words)); distinct < 990 {
		t.Errorf("%d distinct tokens of 1000", distinct)
	}
	for name, other := range map[string]string{"version": text("a", 0, 2, 1000), "prompt": text("b", 0, 1, 1000)} {
		if other[:8] == whole[:8] {
			t.Errorf("another %s gives %q too", name, other[:8])
		}
	}
}
