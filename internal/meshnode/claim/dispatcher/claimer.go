// Package dispatcher fits the claim service to what the dispatcher asks for, so
// that neither package has to know the other.
package dispatcher

import (
	"context"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/claim"
	"github.com/sliplift/sliplift/internal/meshnode/dispatch"
)

// Claimer implements dispatch.Claimer.
type Claimer struct{ service *claim.Service }

var _ dispatch.Claimer = (*Claimer)(nil)

// NewClaimer returns a Claimer of the service.
func NewClaimer(service *claim.Service) *Claimer { return &Claimer{service: service} }

// Claim implements dispatch.Claimer. After an error nothing stands.
func (c *Claimer) Claim(ctx context.Context, key, requestID string) (dispatch.ClaimResult, error) {
	result, err := c.service.Claim(ctx, key, requestID)
	if err != nil {
		return dispatch.ClaimResult{}, err
	}
	return dispatch.ClaimResult{
		Granted: result.Status == claim.Granted,
		Holder:  result.HolderRequestID,
		Answer:  result.Answer,
	}, nil
}

// Complete implements dispatch.Claimer. It does not wait for the replicas.
func (c *Claimer) Complete(_ context.Context, key, requestID string, outcome api.Outcome, answer *api.LiveResponse) error {
	c.service.Complete(key, requestID, outcome, answer)
	return nil
}
