package node

import (
	"context"
	"errors"
	"net/http"

	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/dispatch"
	"github.com/sliplift/sliplift/internal/meshnode/gateway"
	"github.com/sliplift/sliplift/internal/meshnode/rollout"
)

// sampleRunner runs samples through the dispatcher.
type sampleRunner struct{ dispatcher *dispatch.Dispatcher }

// Run implements rollout.Runner.
func (r sampleRunner) Run(ctx context.Context, request rollout.RunRequest) rollout.RunResult {
	result := r.dispatcher.Do(ctx, dispatch.Request{
		RequestID:  request.RequestID,
		Pool:       request.Pool,
		Priority:   request.Priority,
		Repeatable: true,
		Prompt:     request.Prompt,
		MaxTokens:  request.MaxTokens,
		MinVersion: request.MinVersion,
		OnFrame: func(progress dispatch.Progress) error {
			if progress.Frame.Tokens > 0 {
				request.OnSegment(progress.Frame.Version)
			}
			return nil
		},
	})
	return rollout.RunResult{
		Outcome:  result.Outcome,
		Text:     result.Text,
		Tokens:   result.Tokens,
		Segments: result.Segments,
		Err:      result.Err,
	}
}

// configuredVersions names the configured version in samples, for the test that
// shows what the streams' own reports are for.
type configuredVersions struct {
	rollout.Runner
	configuration *configlog.Service
}

// Run implements rollout.Runner.
func (r configuredVersions) Run(ctx context.Context, request rollout.RunRequest) rollout.RunResult {
	result := r.Runner.Run(ctx, request)
	version := r.configuration.Current().Pools[request.Pool].TargetVersion()
	for i := range result.Segments {
		result.Segments[i].Version = version
	}
	return result
}

func (n *Node) sampleRunner() rollout.Runner {
	if n.cfg.Faults.VersionsFromConfiguration {
		return configuredVersions{sampleRunner{n.dispatcher}, n.configuration}
	}
	return sampleRunner{n.dispatcher}
}

// stepService joins the rollout service and the configuration log into what the
// gateway serves to trainers.
type stepService struct {
	rollouts      *rollout.Service
	configuration *configlog.Service
}

// Post implements gateway.StepService.
func (s stepService) Post(ctx context.Context, trainer string, step int64, request api.StepRequest) (api.StepResponse, *api.Error) {
	return s.rollouts.Post(ctx, trainer, step, request)
}

// Pull implements gateway.StepService.
func (s stepService) Pull(ctx context.Context, trainer string, step int64, query gateway.PullQuery) (api.PullResponse, *api.Error) {
	return s.rollouts.Pull(ctx, trainer, step, rollout.PullQuery(query))
}

// Ack implements gateway.StepService.
func (s stepService) Ack(ctx context.Context, trainer string, step, cursor int64) (api.AckResponse, *api.Error) {
	return s.rollouts.Ack(ctx, trainer, step, cursor)
}

// publishRetryAfterMS is the advice to a trainer whose publication could not be
// settled.
const publishRetryAfterMS = 1000

// Publish implements gateway.StepService. Publishing the version that the pool
// already has succeeds, so that a trainer may repeat a publication whose answer
// was lost.
func (s stepService) Publish(ctx context.Context, trainer string, request api.VersionRequest) (api.VersionResponse, *api.Error) {
	operation := configlog.Operation{PublishVersion: &configlog.PublishVersion{Pool: request.Pool, Version: request.Version}}
	change := configlog.NewChange(trainer, operation)
	change.ID = publicationID(trainer, request)
	result := s.configuration.Submit(ctx, change)
	if result.Outcome != configlog.OutcomeAccepted {
		if s.configuration.Current().Pools[request.Pool].Version != request.Version {
			return api.VersionResponse{}, publishError(result)
		}
		result.Revision = s.configuration.Current().Revision
	}
	s.rollouts.SetTrainerVersion(trainer, request.Pool, request.Version)
	return api.VersionResponse{Pool: request.Pool, Version: request.Version, Revision: result.Revision}, nil
}

// publicationID is the same for each repetition of a publication, so that the
// log takes it once.
func publicationID(trainer string, request api.VersionRequest) string {
	name := trainer + "/" + request.Pool + "/" + formatInt(request.Version)
	return uuid.NewSHA1(uuid.NameSpaceOID, []byte(name)).String()
}

func publishError(result configlog.Result) *api.Error {
	failure := &api.Error{Code: result.Code, Outcome: api.OutcomeRefused, Message: result.Message, Status: http.StatusConflict}
	switch result.Outcome {
	case configlog.OutcomeUnknown:
		failure.Outcome = api.OutcomeUnknown
		failure.Status = http.StatusServiceUnavailable
		failure.RetryAfterMS = publishRetryAfterMS
	case configlog.OutcomeUnavailable:
		failure.Status = http.StatusServiceUnavailable
		failure.RetryAfterMS = publishRetryAfterMS
	}
	if failure.Code == "" {
		failure.Code = api.CodeStoreUnavailable
	}
	return failure
}

// isContextError tells whether err only says that its context ended.
func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
