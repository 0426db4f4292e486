package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

// TrainerConfig says what a Trainer asks for.
type TrainerConfig struct {
	// Name is the trainer's name, unique among trainers.
	Name string
	// Nodes are the nodes to call, the preferred one first.
	Nodes []Node
	Pool  string
	// Model names the weights that Publish writes, WeightBytes their size.
	Model       string
	WeightBytes int64
	// Version is the version that the trainer begins with.
	Version          int64
	VersionBound     int64
	SamplesPerPrompt int
	MaxTokens        int
	// PullLimit is the most samples of one pull, PullWait how long a pull may
	// wait for the first of them.
	PullLimit int
	PullWait  time.Duration
	// RetryDelay is the wait after a call that was not answered.
	RetryDelay time.Duration
}

const (
	defaultPullLimit  = 256
	defaultPullWait   = time.Second
	defaultRetryDelay = 100 * time.Millisecond
	// answerGrace is how much longer than PullWait an answer may take before
	// the trainer pulls again.
	answerGrace = 5 * time.Second
	// callTimeout bounds one sending of a call that changes something, so that
	// a node that is paused does not hold the trainer up.
	callTimeout = 10 * time.Second
	// warnInterval is the time without success after which a trainer says so
	// where its user sees it, and says so again.
	warnInterval = 5 * time.Second
)

func (c TrainerConfig) withDefaults() TrainerConfig {
	if c.PullLimit == 0 {
		c.PullLimit = defaultPullLimit
	}
	if c.PullWait == 0 {
		c.PullWait = defaultPullWait
	}
	if c.RetryDelay == 0 {
		c.RetryDelay = defaultRetryDelay
	}
	if c.SamplesPerPrompt == 0 {
		c.SamplesPerPrompt = 1
	}
	return c
}

// ErrIncomplete is returned where a step is said to be done and samples lack.
const ErrIncomplete = errs.Tag("load: step incomplete")

// Batch is what a trainer received of one step.
type Batch struct {
	Samples []api.Sample
	// Accepted is the time from posting the step to its acceptance, First to
	// the first sample, Last to the last one.
	Accepted, First, Last time.Duration
	// OldestLag is the largest difference between the trainer's version and the
	// oldest segment of a sample, at hand-out; MeanLag is the mean.
	OldestLag int64
	MeanLag   float64
	// Stale counts answers that were dropped for their epoch.
	Stale int
}

// Trainer posts steps and takes their samples. RunStep may be called by one
// goroutine at a time, Publish by any.
type Trainer struct {
	lg      logrus.FieldLogger
	cfg     TrainerConfig
	nodes   *nodes
	weights storeclient.Weights
	sink    history.Sink
	version atomic.Int64
}

// NewTrainer returns a trainer that calls nodes through httpClient and
// publishes through weights.
func NewTrainer(lg logrus.FieldLogger, cfg TrainerConfig, httpClient *http.Client, weights storeclient.Weights, sink history.Sink) *Trainer {
	cfg = cfg.withDefaults()
	trainer := &Trainer{
		lg:      lg.WithField("trainer", cfg.Name),
		cfg:     cfg,
		nodes:   newNodes(httpClient, cfg.Nodes),
		weights: weights,
		sink:    sink,
	}
	trainer.version.Store(cfg.Version)
	return trainer
}

// Version returns the version that the trainer's next pull names.
func (t *Trainer) Version() int64 { return t.version.Load() }

// RunStep posts the step, pulls until it has every sample, and acknowledges
// them. It retries until the context ends or an answer says that retrying does
// not help.
func (t *Trainer) RunStep(ctx context.Context, step int64, prompts []string) (Batch, error) {
	run := &stepRun{trainer: t, step: step, begun: time.Now(), taken: map[int]bool{}}
	run.request = api.StepRequest{
		Pool:             t.cfg.Pool,
		Prompts:          prompts,
		SamplesPerPrompt: t.cfg.SamplesPerPrompt,
		MaxTokens:        t.cfg.MaxTokens,
		VersionBound:     t.cfg.VersionBound,
	}
	if err := run.post(ctx); err != nil {
		return run.batch, err
	}
	if err := run.collect(ctx); err != nil {
		return run.batch, err
	}
	return run.finish()
}

// Publish writes the weights of the version to the weight store and tells a
// node about it. From then on the trainer's pulls name the version.
func (t *Trainer) Publish(ctx context.Context, version int64) (api.VersionResponse, error) {
	var response api.VersionResponse
	weights := api.WeightVersion{Model: t.cfg.Model, Version: version, Bytes: t.cfg.WeightBytes}
	err := t.retry(ctx, "put weights", func() error { return t.weights.PutWeights(ctx, weights) })
	if err != nil {
		return response, err
	}
	request := api.VersionRequest{Pool: t.cfg.Pool, Version: version}
	path := "/v1/trainers/" + url.PathEscape(t.cfg.Name) + "/versions"
	err = t.retry(ctx, "publish version", func() error {
		return t.nodes.doWithin(ctx, callTimeout, func(s *sling.Sling) *sling.Sling { return s.Post(path).BodyJSON(request) }, &response)
	})
	if err != nil && !alreadyPublished(err) {
		return response, err
	}
	t.raiseVersion(version)
	return response, nil
}

// alreadyPublished recognises the answer to a publication that took effect at
// a sending whose answer was lost, or that a later one has overtaken.
func alreadyPublished(err error) bool {
	var answer *api.Error
	return errors.As(err, &answer) && answer.Code == api.CodeVersionNotMonotone
}

func (t *Trainer) raiseVersion(version int64) {
	for {
		current := t.version.Load()
		if version <= current || t.version.CompareAndSwap(current, version) {
			return
		}
	}
}

// retry repeats call until it succeeds, the context ends, or its error says
// that repeating does not help. Every call it is used for is idempotent.
func (t *Trainer) retry(ctx context.Context, what string, call func() error) error {
	warned := time.Now()
	for {
		err := call()
		if err == nil {
			return nil
		}
		delay, again := retryDelay(err, t.cfg.RetryDelay)
		if !again {
			return errs.Errorf("%s: %w", what, err)
		}
		level := logrus.DebugLevel
		if time.Since(warned) >= warnInterval {
			level, warned = logrus.WarnLevel, time.Now()
		}
		t.lg.WithError(err).WithField("retry_in", delay).Logf(level, "%s: no success yet", what)
		if waitErr := wait(ctx, delay); waitErr != nil {
			return errs.Errorf("%s: %w, last: %w", what, waitErr, err)
		}
	}
}

func (t *Trainer) stepPath(step int64, suffix string) string {
	return fmt.Sprintf("/v1/trainers/%s/steps/%s%s", url.PathEscape(t.cfg.Name), strconv.FormatInt(step, 10), suffix)
}
