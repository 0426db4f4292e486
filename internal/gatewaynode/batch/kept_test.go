package batch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventstream"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
	"github.com/sliplift/sliplift/internal/telemetry"
)

// sharedItem is the ID of the item that all jobs of these tests have.
const sharedItem = "item"

// keepingRunner returns a runner that keeps the texts of closed jobs.
func keepingRunner(t *testing.T) *runner {
	logger, err := telemetry.NewLogger("error", telemetry.FormatJSON, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	return newRunner(&Manager{
		jobs: make(map[string]*jobState),
		config: Config{
			Store: rowstoretest.New(), Limits: rowstore.Limits{RowBytes: 64 << 10, TransactionRows: 100},
			Log:    eventlog.New(logger, io.Discard),
			Routes: func() *routetable.Table { return nil },
			WorkOf: func(fingerprint.Input) fingerprint.Fingerprint { return fingerprint.Fingerprint{} },
		},
	})
}

// openShared opens a job with sharedItem, whose run it returns. The job continues the stored text
// unless a longer one is kept. A job whose text is complete has no run, and is closed.
func openShared(r *runner, id string, stored text) *run {
	ctx, cancel := context.WithCancel(context.Background())
	job := &ownedJob{id: id, ctx: ctx, cancel: cancel, commitWake: make(chan struct{}, 1)}
	r.jobs[id] = job
	r.start(job, storedJob{spec: &Spec{ID: id, Items: []Item{{ID: sharedItem, Path: "/"}}}, texts: map[int]text{0: stored}})
	if job.items[0].phase == phaseFinished {
		r.close(id)
		return nil
	}
	job.items[0].phase = phaseRunning
	return &run{runner: r, job: job, ctx: ctx, cancel: func(error) { cancel() }, route: &routetable.Route{}}
}

// receive adds an event to the text of a run.
func receive(t *testing.T, run *run, data string) {
	t.Helper()
	if err := run.runner.take(run, eventstream.Event{Data: []byte(data)}, 1); err != nil {
		t.Fatalf("event %s: %v", data, err)
	}
}

// TestJobsDoNotShareTheEventsOfAKeptText guards against a result that holds events of another
// job's run: two open jobs continued one kept text, and each wrote its events into the array of
// the other.
func TestJobsDoNotShareTheEventsOfAKeptText(t *testing.T) {
	r := keepingRunner(t)
	first := openShared(r, "first", text{})
	// Five events leave room in the array that append has made.
	for i := range 5 {
		receive(t, first, fmt.Sprint("kept", i))
	}
	r.close("first")
	second, third := openShared(r, "second", text{}), openShared(r, "third", text{})
	for i := range 3 {
		receive(t, second, fmt.Sprint("second", i))
		receive(t, third, fmt.Sprint("third", i))
	}
	for _, run := range []*run{second, third} {
		r.finishRun(run, nil)
		id := run.job.id
		want := fmt.Sprintf("kept0 kept1 kept2 kept3 kept4 %s0 %s1 %s2", id, id, id)
		if got := strings.ReplaceAll(run.job.finished[0].result.Text, "\n", " "); got != want {
			t.Errorf("result of job %s is %q, want %q", id, got, want)
		}
	}
}

// TestTextsOfJobsNeverMix opens, extends, restarts, checkpoints, finishes and closes jobs with the
// same item in random order, and compares the text of each open job with a copy that is its own.
func TestTextsOfJobsNeverMix(t *testing.T) {
	const seeds, steps = 300, 120
	for seed := range uint64(seeds) {
		m := newMixing(t, seed)
		for range steps {
			m.step()
			m.check(t)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// mixing is a random sequence of operations on jobs with the same item.
type mixing struct {
	t       *testing.T
	random  *rand.Rand
	runner  *runner
	opened  int
	open    []*mixedJob
	stored  [][]string
	counted int
}

// mixedJob is an open job and what its text has to be.
type mixedJob struct {
	run  *run
	want []string
}

func newMixing(t *testing.T, seed uint64) *mixing {
	return &mixing{t: t, random: rand.New(rand.NewPCG(seed, 1)), runner: keepingRunner(t)}
}

func (m *mixing) step() {
	if len(m.open) == 0 || len(m.open) < 4 && m.random.IntN(10) == 0 {
		m.openJob()
		return
	}
	index := m.random.IntN(len(m.open))
	job := m.open[index]
	switch m.random.IntN(20) {
	case 0:
		m.runner.close(job.run.job.id)
		m.remove(index)
	case 1:
		m.runner.finishRun(job.run, nil)
		m.checkResult(job)
		m.runner.close(job.run.job.id)
		m.remove(index)
	case 2:
		job.run.job.items[0].resetText()
		job.want = nil
	case 3:
		m.checkpoint(job)
	default:
		m.counted++
		event := fmt.Sprintf("%s.%d", job.run.job.id, m.counted)
		receive(m.t, job.run, event)
		job.want = append(job.want[:len(job.want):len(job.want)], event)
	}
}

func (m *mixing) remove(index int) { m.open = append(m.open[:index:index], m.open[index+1:]...) }

// openJob opens a job that continues a kept or a checkpointed text, and takes what it starts with
// as what it has to keep.
func (m *mixing) openJob() {
	m.opened++
	var stored text
	if len(m.stored) > 0 {
		for _, event := range m.stored[m.random.IntN(len(m.stored))] {
			stored.events, stored.versions = append(stored.events, []byte(event)), append(stored.versions, 1)
		}
	}
	opened := openShared(m.runner, fmt.Sprint("job", m.opened), stored)
	if opened != nil {
		m.open = append(m.open, &mixedJob{run: opened, want: eventsOf(opened.job)})
	}
}

// checkpoint encodes the text of a job as a checkpoint does and decodes it again.
func (m *mixing) checkpoint(job *mixedJob) {
	m.runner.mu.Lock()
	segments := m.runner.unsavedSegments(job.run.job, 0)
	m.runner.mu.Unlock()
	if len(segments) == 0 {
		return
	}
	events := make([]string, 0, len(job.want))
	for _, event := range decodePartials([]rowstore.Row{segments[0].row})[0].events {
		events = append(events, string(event))
	}
	if fmt.Sprint(events) != fmt.Sprint(job.want) {
		m.t.Errorf("checkpoint of %s has %v, want %v", job.run.job.id, events, job.want)
	}
	m.stored = append(m.stored, events)
}

func (m *mixing) checkResult(job *mixedJob) {
	if got, want := job.run.job.finished[0].result.Text, strings.Join(job.want, "\n"); got != want {
		m.t.Errorf("result of %s is %q, want %q", job.run.job.id, got, want)
	}
}

// check compares the texts of all open jobs with what they have to be.
func (m *mixing) check(t *testing.T) {
	for _, job := range m.open {
		if got := eventsOf(job.run.job); fmt.Sprint(got) != fmt.Sprint(job.want) {
			t.Errorf("text of %s is %v, want %v", job.run.job.id, got, job.want)
		}
	}
}

func eventsOf(job *ownedJob) []string {
	var events []string
	for _, event := range job.items[0].text.events {
		events = append(events, string(event))
	}
	return events
}
