package demo

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/query"
	"github.com/sliplift/sliplift/internal/pause"
)

// operatorUser makes changes in the operators' language and records those that
// were accepted. Its node is the last one, which the demo never stops unless it
// is the only one.
type operatorUser struct {
	lg     logrus.FieldLogger
	client *operator.Client
	sink   history.Sink
	limit  time.Duration
}

func newOperatorUser(lg logrus.FieldLogger, httpClient *http.Client, nodes []Node, sink history.Sink, limit time.Duration) *operatorUser {
	node := nodes[len(nodes)-1]
	return &operatorUser{lg: lg, client: operator.NewClient(httpClient, node.OperatorAddress), sink: sink, limit: limit}
}

// applicationInFlight bounds a node's requests in flight to one application
// instance.
const applicationInFlight = 32

func (o *operatorUser) createPools(ctx context.Context, cfg Config) error {
	bound, inFlight := cfg.VersionBound, applicationInFlight
	pools := []query.CreatePool{
		{Name: TitlesPool, Kind: configlog.PoolEngines, Model: cfg.Model, Backends: cfg.Engines, Options: query.PoolOptions{VersionBound: &bound}},
		{Name: PreviewPool, Kind: configlog.PoolApplications, Backends: cfg.Previews, Options: query.PoolOptions{MaxInFlight: &inFlight}},
		{Name: BookingPool, Kind: configlog.PoolApplications, Backends: cfg.Bookings, Options: query.PoolOptions{MaxInFlight: &inFlight}},
	}
	for _, pool := range pools {
		if err := o.change(ctx, pool); err != nil {
			return err
		}
	}
	return nil
}

func (o *operatorUser) drain(ctx context.Context, engine string, limit time.Duration) error {
	if err := o.change(ctx, query.Drain{Scope: configlog.DrainEngine, Name: engine}); err != nil {
		return err
	}
	o.sink.Record(history.Event{Kind: history.KindDrainAccepted, Process: operatorName, Backend: engine, LimitMS: limit.Milliseconds()})
	return nil
}

// resume records the end of the drain before it asks for it: the engine may get
// work from the moment on at which the change is accepted.
func (o *operatorUser) resume(ctx context.Context, engine string) error {
	o.sink.Record(history.Event{Kind: history.KindResumeAccepted, Process: operatorName, Backend: engine})
	return o.change(ctx, query.Resume{Scope: configlog.DrainEngine, Name: engine})
}

// notReadyRetry is the wait after a node said that it cannot answer yet.
const notReadyRetry = 100 * time.Millisecond

// change makes one change. All sendings have one id, so it happens once however
// often its answer is lost.
func (o *operatorUser) change(ctx context.Context, action query.Action) error {
	statement := query.Change{Action: action}.String()
	request := operator.QueryRequest{ID: uuid.NewString(), Author: operatorName, Statements: statement}
	for {
		result, err := o.ask(ctx, request)
		if err == nil && result.Change != nil && result.Change.Outcome == configlog.OutcomeAccepted {
			o.recordAccepted(operatorName, result.Change.Revision)
			return nil
		}
		if err == nil && !mayYetSucceed(result) {
			return errs.Errorf("%s: %s", statement, describe(result))
		}
		o.lg.WithError(err).Debugf("%s: %s", statement, describe(result))
		if !pause.For(ctx, notReadyRetry) {
			return errs.Errorf("%s: %w", statement, context.Cause(ctx))
		}
	}
}

func (o *operatorUser) ask(ctx context.Context, request operator.QueryRequest) (query.Result, error) {
	var answer query.Result
	_, err := o.client.Query(ctx, request, func(result query.Result) { answer = result })
	var refusal *api.Error
	if errors.As(err, &refusal) && refusal.RetryAfterMS == 0 {
		answer.Problem = refusal
		return answer, nil
	}
	return answer, err
}

// mayYetSucceed tells whether asking again under the same id helps.
func mayYetSucceed(result query.Result) bool {
	if result.Change == nil {
		return result.Problem == nil || result.Problem.RetryAfterMS > 0
	}
	outcome := result.Change.Outcome
	return outcome == configlog.OutcomeUnknown || outcome == configlog.OutcomeUnavailable
}

func describe(result query.Result) string {
	switch {
	case result.Change != nil:
		return string(result.Change.Outcome) + " " + result.Change.Message
	case result.Problem != nil:
		return result.Problem.Error()
	}
	return "no answer"
}

// recordAccepted notes a revision that must be in force everywhere in time; zero
// stands for a change whose revision was not told.
func (o *operatorUser) recordAccepted(process string, revision int64) {
	if revision == 0 {
		return
	}
	o.sink.Record(history.Event{Kind: history.KindConfigAccepted, Process: process, Revision: revision, LimitMS: o.limit.Milliseconds()})
}
