package engine

import "github.com/sliplift/sliplift/internal/api"

// Faults switches mechanisms off, so that tests can show that a check fails
// without them. The zero value leaves all on.
type Faults struct {
	// TrustFrames takes frames as they come: of any attempt, in any order, with
	// any totals, and a stream without its end marker as a whole one.
	TrustFrames bool
	// HideLeaving drops the back ends' own word that they leave.
	HideLeaving bool
}

// seen returns a load report as this client shows it.
func (f Faults) seen(report *api.LoadReport) *api.LoadReport {
	if report == nil || !f.HideLeaving {
		return report
	}
	shown := *report
	shown.Leaving = false
	return &shown
}

// WithFaults returns a client over the same connections with mechanisms
// switched off. It is for tests only.
func (c *Client) WithFaults(faults Faults) *Client {
	faulty := *c
	faulty.faults = faults
	return &faulty
}
