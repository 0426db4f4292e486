package faulttest

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dghubble/sling"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/cluster"
	"github.com/sliplift/sliplift/internal/load"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// StepConfig says what a trainer asks for.
type StepConfig struct {
	Trainer          string
	FirstNode        int
	Steps            int
	Prompts          int
	SamplesPerPrompt int
	MaxTokens        int
	VersionBound     int64
	// PullLimit is the most samples of one pull; zero stands for many.
	PullLimit int
	// Timeout ends a trainer that gets no further.
	Timeout time.Duration
}

// weightBytes is the size of published weights.
const weightBytes = 1 << 20

// Train lets a trainer run its steps in the background. A step that does not
// come to its end is noted.
func (w *World) Train(config StepConfig) {
	trainer := w.trainer(config)
	w.users.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), config.Timeout)
		defer cancel()
		for step := 1; step <= config.Steps; step++ {
			if _, err := trainer.RunStep(ctx, int64(step), prompts(config, step)); err != nil {
				w.note("%s, step %d: %v", config.Trainer, step, err)
				return
			}
		}
	})
}

func (w *World) trainer(config StepConfig) *load.Trainer {
	trainer := load.NewTrainer(w.log, load.TrainerConfig{
		Name: config.Trainer, Nodes: w.callerNodes(config.FirstNode), Pool: cluster.TitlesPool, Model: cluster.Model,
		WeightBytes: weightBytes, Version: 1, VersionBound: config.VersionBound,
		SamplesPerPrompt: config.SamplesPerPrompt, MaxTokens: config.MaxTokens, PullLimit: config.PullLimit,
	}, w.httpClient(config.Trainer), w.cluster.Platform(config.Trainer), w.sink)
	w.trainers[config.Trainer] = trainer
	return trainer
}

// TakeOver asks a node for the samples of a trainer's first step, as a trainer
// does that cannot reach the owner, until the node has taken the step over.
func (w *World) TakeOver(ctx context.Context, trainer string, number int) error {
	client := w.httpClient(trainer + "-standby")
	base := "http://" + w.callerNodes(number)[0].Address
	for {
		pull := sling.New().Base(base).Get("/v1/trainers/" + trainer + "/steps/1/samples?cursor=0")
		err := httpjson.Do(ctx, client, pull, nil)
		var answer *api.Error
		// The owner says of a cursor that it is behind the acknowledged one.
		if err == nil || errors.As(err, &answer) && answer.Code == api.CodeCursorOutOfRange {
			return nil
		}
		select {
		case <-ctx.Done():
			return errs.Errorf("%w, last: %w", ctx.Err(), err)
		case <-time.After(takeOverPause):
		}
	}
}

const takeOverPause = 200 * time.Millisecond

func prompts(config StepConfig, step int) []string {
	texts := make([]string, config.Prompts)
	for i := range texts {
		texts[i] = fmt.Sprintf("%s: title %d of step %d", config.Trainer, i, step)
	}
	return texts
}

// Publish lets a trainer publish a version and returns when a node took it.
func (w *World) Publish(ctx context.Context, trainer string, version int64) error {
	response, err := w.trainers[trainer].Publish(ctx, version)
	if err == nil {
		w.operators.accepted(trainer, response.Revision, configLimit)
	}
	return err
}

// TrafficConfig says what an application sends.
type TrafficConfig struct {
	Caller     string
	Pool       string
	FirstNode  int
	Repeatable bool
	// Rate is in requests a second; Requests ends the traffic, zero stands for
	// no such end.
	Rate     float64
	Requests int64
	Attempts int
	Retry    time.Duration
	Deadline time.Duration
	// MaxTokens belongs to engine pools.
	MaxTokens int
}

const (
	trafficInFlight = 256
	trafficLimit    = time.Hour
)

// Send lets an application send requests in the background, until Finish.
func (w *World) Send(config TrafficConfig) {
	caller := load.NewCaller(load.CallerConfig{
		Name: config.Caller, Nodes: w.callerNodes(config.FirstNode), Pool: config.Pool, Repeatable: config.Repeatable,
		Attempts: config.Attempts, RetryDelay: config.Retry, Deadline: config.Deadline, MaxTokens: config.MaxTokens,
	}, w.httpClient(config.Caller), w.sink)
	send := load.ThroughNode(caller, func(number int64) string { return fmt.Sprintf("%s request %d", config.Caller, number) })
	run := load.RunConfig{Concurrency: trafficInFlight, Rate: config.Rate, Duration: trafficLimit, Requests: config.Requests}
	w.users.Go(func() { load.NewRunner(run, send).Run(w.traffic) })
}

func machinesOf(backends []configlog.Backend) []api.Machine {
	var machines []api.Machine
	for _, b := range backends {
		machines = append(machines, api.Machine{
			Name: b.Name, Address: b.Address, Zone: b.Zone, Region: b.Region, Site: b.Site, State: api.MachineLive,
		})
	}
	return machines
}
