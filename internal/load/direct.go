package load

import (
	"context"
	"net/http"

	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
)

// directNode is the name under which direct requests reach a back end.
const directNode = "direct"

// Direct returns a sender that calls the engine at address itself, as the
// baseline for what a node adds.
func Direct(httpClient *http.Client, address string, cfg CallerConfig, prompt func(number int64) string) Sender {
	cfg = cfg.withDefaults()
	client := engine.NewClient(httpClient)
	return func(ctx context.Context, number int64) api.Outcome {
		sendContext, cancel := context.WithTimeout(ctx, cfg.Deadline)
		defer cancel()
		result := client.Generate(sendContext, address, api.GenerateRequest{
			RequestID: uuid.NewString(),
			Node:      directNode,
			Pool:      cfg.Pool,
			Priority:  cfg.Priority,
			Prompt:    prompt(number),
			MaxTokens: cfg.MaxTokens,
		}, nil)
		return outcomeOfState(result.State)
	}
}

// ThroughNode returns a sender that sends through the caller's nodes.
func ThroughNode(caller *Caller, prompt func(number int64) string) Sender {
	return func(ctx context.Context, number int64) api.Outcome {
		return caller.Send(ctx, prompt(number)).Outcome
	}
}

func outcomeOfState(state engine.State) api.Outcome {
	switch state {
	case engine.StateComplete:
		return api.OutcomeCompleted
	case engine.StateNotSent, engine.StateRefused:
		return api.OutcomeRefused
	}
	return api.OutcomeUnknown
}
