package faulttest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/cluster"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

const (
	operatorName = "operator"
	// configLimit is the time in which an accepted change must be in force
	// everywhere, drainLimit that after which a leaving back end must get no new
	// work.
	configLimit = 5 * time.Second
	drainLimit  = 3 * time.Second
	// applicationInFlight bounds a node's requests in flight to one instance.
	applicationInFlight = 64
	// poolCount is the number of pools, and so of the revisions that make them.
	poolCount       = 3
	operatorRetry   = 100 * time.Millisecond
	operatorTimeout = 5 * time.Second
)

// operators make changes in the operators' language and record what was
// accepted.
type operators struct {
	world *World
	nodes []string
}

func newOperators(w *World) *operators {
	o := &operators{world: w}
	for i := w.config.Nodes; i >= 1; i-- {
		o.nodes = append(o.nodes, cluster.NodeName(i))
	}
	return o
}

func (o *operators) createPools(ctx context.Context) error {
	engines, previews, bookings := o.world.cluster.Backends()
	bound, inFlight := int64(10), applicationInFlight
	pools := []query.CreatePool{
		{Name: cluster.TitlesPool, Kind: configlog.PoolEngines, Model: cluster.Model, Backends: engines, Options: query.PoolOptions{VersionBound: &bound}},
		{Name: cluster.PreviewPool, Kind: configlog.PoolApplications, Backends: previews, Options: query.PoolOptions{MaxInFlight: &inFlight}},
		{Name: cluster.BookingPool, Kind: configlog.PoolApplications, Backends: bookings, Options: query.PoolOptions{MaxInFlight: &inFlight}},
	}
	for _, pool := range pools {
		statement := query.Change{Action: pool}.String()
		if outcome := o.Change(ctx, operatorName, "", statement); outcome != configlog.OutcomeAccepted {
			return fmt.Errorf("%s: %s", statement, outcome)
		}
	}
	return nil
}

// Change makes one change by a node (empty: the last one, and the others in
// turn when it does not answer) and returns its fate. All sendings have one id,
// so it happens once however often its answer is lost. It gives up when ctx ends.
func (o *operators) Change(ctx context.Context, author, by, statement string) configlog.Outcome {
	return o.ChangeWithin(ctx, author, by, statement, drainLimit)
}

// ChangeWithin is Change with another limit for a drain.
func (o *operators) ChangeWithin(ctx context.Context, author, by, statement string, limit time.Duration) configlog.Outcome {
	o.recordResume(statement)
	request := operator.QueryRequest{ID: uuid.NewString(), Author: author, Statements: statement}
	client := o.world.httpClient(author)
	for turn := 0; ; turn++ {
		name := by
		if by == "" {
			name = o.nodes[turn%len(o.nodes)]
		}
		answer := o.ask(ctx, operator.NewClient(client, name+":7001"), request)
		if answer.Change != nil && settled(answer.Change.Outcome) {
			if answer.Change.Outcome == configlog.OutcomeAccepted {
				o.recordChange(author, statement, answer.Change.Revision, limit)
			}
			return answer.Change.Outcome
		}
		if answer.Problem != nil && answer.Problem.RetryAfterMS == 0 {
			o.world.note("%s: %v", statement, answer.Problem)
			return configlog.OutcomeInvalid
		}
		select {
		case <-ctx.Done():
			return configlog.OutcomeUnknown
		case <-time.After(operatorRetry):
		}
	}
}

func settled(outcome configlog.Outcome) bool {
	return outcome != configlog.OutcomeUnknown && outcome != configlog.OutcomeUnavailable
}

func (o *operators) ask(ctx context.Context, client *operator.Client, request operator.QueryRequest) query.Result {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var answer query.Result
	_, err := client.Query(ctx, request, func(result query.Result) { answer = result })
	var refusal *api.Error
	if errors.As(err, &refusal) {
		answer.Problem = refusal
	}
	return answer
}

// recordChange tells the history of an accepted change and what it drains.
func (o *operators) recordChange(author, statement string, revision int64, limit time.Duration) {
	o.accepted(author, revision, configLimit)
	if drain, ok := actionOf(statement).(query.Drain); ok {
		o.recordDrain(history.KindDrainAccepted, drain.Scope, drain.Name, limit)
	}
}

// recordResume tells the history of the end of a drain before it is asked for:
// back ends may get work from the moment on at which the change is accepted.
func (o *operators) recordResume(statement string) {
	if resume, ok := actionOf(statement).(query.Resume); ok {
		o.recordDrain(history.KindResumeAccepted, resume.Scope, resume.Name, 0)
	}
}

// actionOf returns what a statement changes, nil if it is no change.
func actionOf(statement string) query.Action {
	parsed, err := query.Parse(statement, nil)
	if err != nil || len(parsed) != 1 {
		return nil
	}
	change, _ := parsed[0].Statement.(query.Change)
	return change.Action
}

func (o *operators) accepted(process string, revision int64, limit time.Duration) {
	if revision == 0 {
		return
	}
	o.world.sink.Record(history.Event{Kind: history.KindConfigAccepted, Process: process, Revision: revision, LimitMS: limit.Milliseconds()})
}

func (o *operators) recordDrain(kind history.Kind, scope configlog.DrainScope, name string, limit time.Duration) {
	for _, backend := range o.covered(scope, name) {
		o.drained(kind, backend, limit)
	}
}

func (o *operators) drained(kind history.Kind, backend string, limit time.Duration) {
	o.world.sink.Record(history.Event{Kind: kind, Process: operatorName, Backend: backend, LimitMS: limit.Milliseconds()})
}

// covered lists the back ends that a drain names.
func (o *operators) covered(scope configlog.DrainScope, name string) []string {
	drains := configlog.State{Drains: map[string]configlog.Drain{configlog.DrainKey(scope, name): {}}}
	var names []string
	engines, previews, bookings := o.world.cluster.Backends()
	for _, pool := range [][]configlog.Backend{engines, previews, bookings} {
		for _, backend := range pool {
			if drains.Drained(backend) {
				names = append(names, backend.Name)
			}
		}
	}
	return names
}
