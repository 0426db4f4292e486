package processtest

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/load"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// Names of the users.
const (
	trainerName  = "titles-trainer"
	previewName  = "listings"
	bookingName  = "visits"
	operatorName = "operator"
)

const (
	modelName = "language"
	// versionBound is that of pool and steps.
	versionBound = 2
	// stepPrompts times stepSamples is the size of a step.
	stepPrompts = 16
	stepSamples = 4
)

// createPools creates the three pools through the node and waits until each is
// in force everywhere. Addresses override where nodes reach a back end.
func (s *system) createPools(node string, addresses map[string]string) {
	s.t.Helper()
	backends := map[string][]string{}
	add := func(pool, name string, i int) {
		address := s.ports.address(name)
		if other, ok := addresses[name]; ok {
			address = other
		}
		backends[pool] = append(backends[pool], fmt.Sprintf("'%s' AT '%s' ZONE '%s'", name, address, zone(i)))
	}
	for i := range engineCount {
		add("titles", engineName(i), i)
	}
	for i, name := range applicationNames {
		add(poolOf(name), name, i)
	}
	list := func(pool string) string {
		return "BACKENDS (" + strings.Join(backends[pool], ", ") + ") WAIT 20 SECONDS"
	}
	s.change(node, fmt.Sprintf("CREATE POOL titles KIND engines MODEL %s VERSION BOUND %d %s", modelName, versionBound, list("titles")))
	s.change(node, "CREATE POOL preview KIND applications "+list("preview"))
	s.change(node, "CREATE POOL booking KIND applications "+list("booking"))
	s.waitBookings()
}

// waitBookings waits until every node takes bookings: the nodes choose who keeps
// claims when they have known each other for a moment.
func (s *system) waitBookings() {
	s.t.Helper()
	for i := range nodeCount {
		caller := s.newCaller("booking", 1, nodeName(i))
		eventually(s.t, nodeName(i)+" takes bookings", func() error {
			return caller.Send(s.t.Context(), "A first visit.").Err
		})
	}
}

// change makes a change through the node, records its acceptance and returns
// its revision. Sendings have one id, so it happens once.
func (s *system) change(node, statement string) int64 {
	s.t.Helper()
	request := operator.QueryRequest{ID: uuid.NewString(), Author: operatorName, Statements: statement}
	var revision int64
	eventually(s.t, statement, func() error {
		result, err := s.ask(node, request)
		if err != nil {
			return err
		}
		if result.Change == nil || result.Change.Outcome != configlog.OutcomeAccepted {
			return fmt.Errorf("%+v %+v", result.Change, result.Problem)
		}
		revision = result.Change.Revision
		return nil
	})
	s.users.Record(history.Event{Kind: history.KindConfigAccepted, Process: operatorName, Revision: revision, LimitMS: configLimit.Milliseconds()})
	return revision
}

func (s *system) drain(node, backend string) {
	s.t.Helper()
	s.change(node, "DRAIN ENGINE "+backend)
	s.users.Record(history.Event{Kind: history.KindDrainAccepted, Process: operatorName, Backend: backend, LimitMS: drainLimit.Milliseconds()})
}

// resumeEngine records the end of the drain before it asks for it: from the
// moment of acceptance on the engine may get work.
func (s *system) resumeEngine(node, backend string) {
	s.t.Helper()
	s.users.Record(history.Event{Kind: history.KindResumeAccepted, Process: operatorName, Backend: backend})
	s.change(node, "RESUME ENGINE "+backend)
}

// ask runs one statement at the node.
func (s *system) ask(node string, request operator.QueryRequest) (query.Result, error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), waitLimit)
	defer cancel()
	var answer query.Result
	_, err := s.operatorOf(node).Query(ctx, request, func(result query.Result) { answer = result })
	if err == nil && answer.Problem != nil {
		err = answer.Problem
	}
	return answer, err
}

// row is a row of a table, by column.
type row map[string]string

// show returns the rows of a SHOW statement as the node answers it.
func (s *system) show(node, statement string) ([]row, error) {
	result, err := s.ask(node, operator.QueryRequest{Statements: statement})
	if err != nil {
		return nil, err
	}
	if result.Table == nil {
		return nil, fmt.Errorf("%s: no table", statement)
	}
	var rows []row
	for _, values := range result.Table.Rows {
		cells := row{}
		for i, column := range result.Table.Columns {
			cells[column.Name] = values[i].String()
		}
		rows = append(rows, cells)
	}
	return rows, nil
}

// newTrainer returns a trainer that prefers the named nodes and records to sink.
func (s *system) newTrainer(sink history.Sink, first ...string) *load.Trainer {
	return load.NewTrainer(s.log, load.TrainerConfig{
		Name:             trainerName,
		Nodes:            s.callers(first...),
		Pool:             "titles",
		Model:            modelName,
		WeightBytes:      1 << 20,
		Version:          1,
		VersionBound:     versionBound,
		SamplesPerPrompt: stepSamples,
		MaxTokens:        96,
		PullLimit:        8,
		PullWait:         500 * time.Millisecond,
	}, s.httpClient, s.platform(), sink)
}

func stepTexts(step int) []string {
	texts := make([]string, stepPrompts)
	for i := range texts {
		texts[i] = fmt.Sprintf("Write a title for listing %d of step %d.", i, step)
	}
	return texts
}

// publish publishes a version and records the change that it is.
func (s *system) publish(trainer *load.Trainer, version int64) {
	s.t.Helper()
	response, err := trainer.Publish(s.t.Context(), version)
	if err != nil {
		s.t.Fatal(err)
	}
	if response.Revision > 0 {
		s.users.Record(history.Event{Kind: history.KindConfigAccepted, Process: trainerName, Revision: response.Revision, LimitMS: configLimit.Milliseconds()})
	}
}

// runStep runs one step to its end under a bound.
func (s *system) runStep(trainer *load.Trainer, step int) load.Batch {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitLimit)
	defer cancel()
	batch, err := trainer.RunStep(ctx, int64(step), stepTexts(step))
	if err != nil {
		s.t.Fatalf("step %d: %v", step, err)
	}
	return batch
}

// newCaller returns a caller of the pool; bookings are not repeatable.
func (s *system) newCaller(pool string, attempts int, first ...string) *load.Caller {
	name := previewName
	if pool == "booking" {
		name = bookingName
	}
	return load.NewCaller(load.CallerConfig{
		Name:       name,
		Nodes:      s.callers(first...),
		Pool:       pool,
		Repeatable: pool != "booking",
		MaxTokens:  64,
		Attempts:   attempts,
	}, s.httpClient, s.users)
}

// traffic sends requests at the rate until the returned function is called,
// which returns their report.
func (s *system) traffic(caller *load.Caller, rate float64) (stop func() load.Report) {
	ctx, cancel := context.WithCancel(s.t.Context())
	measured := make(chan load.Report, 1)
	config := load.RunConfig{Concurrency: 64, Rate: rate, Duration: time.Minute}
	prompt := func(number int64) string { return fmt.Sprintf("request %d", number) }
	go func() {
		measured <- load.NewRunner(config, load.ThroughNode(caller, prompt)).Run(ctx).Report("traffic")
	}()
	return func() load.Report {
		cancel()
		return <-measured
	}
}

// triggerSink passes events on and acts at the n-th event of a kind, before the
// writer of the event goes on: what happens in the action falls into the middle
// of what the writer does.
type triggerSink struct {
	history.Sink
	kind  history.Kind
	count atomic.Int64
	// actions are keyed by the number of the event, from 1.
	actions map[int64]func()
}

func newTriggerSink(sink history.Sink, kind history.Kind, actions map[int64]func()) *triggerSink {
	return &triggerSink{Sink: sink, kind: kind, actions: actions}
}

// Record implements history.Sink.
func (s *triggerSink) Record(event history.Event) {
	s.Sink.Record(event)
	if event.Kind != s.kind {
		return
	}
	if action := s.actions[s.count.Add(1)]; action != nil {
		action()
	}
}
