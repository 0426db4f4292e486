package eligibility

import (
	"errors"
	"fmt"
	"time"
)

// Reason is the reason why a backend may not get a request. The implementations are the
// types of this file. A nil Reason means that the backend is eligible.
type Reason interface {
	// Label returns the name of the reason in logs and metrics. It is constant per type.
	Label() string
	fmt.Stringer
}

// Gone means that the registry no longer lists the backend.
type Gone struct{}

// Draining means that the backend is shutting down and accepts no new requests.
type Draining struct{}

// Evacuated means that the zone of the backend is evacuated.
type Evacuated struct {
	Zone string
	// Elapsed is the time since this node learned of the evacuation.
	Elapsed time.Duration
}

// OtherRegion means that the request may not be served in the region of the backend.
type OtherRegion struct {
	// Region is the region of the backend, empty if unknown.
	Region string
	// Allowed lists the allowed regions.
	Allowed string
}

// EvacuationsOutdated means that the node's list of evacuations is out of date, so that the
// zone may be evacuated.
type EvacuationsOutdated struct {
	// Age is the time since the store last confirmed the list.
	Age time.Duration
}

// NoModel means that the backend does not hold the model.
type NoModel struct{}

// OtherWeights means that the backend's version of the model is not among the allowed ones.
type OtherWeights struct {
	// Version is the version that the backend holds.
	Version int64
}

// Loading means that the backend is loading weights of the model.
type Loading struct{}

// Cold means that the backend is cold and that this node may not send it the request: its
// share is used up, or the request waits for warm backends.
type Cold struct {
	// Left is how much longer the backend is expected to be cold.
	Left time.Duration
}

// Quarantined means that backends terminated while they ran equal requests. No backend may
// get the request.
type Quarantined struct {
	// Failures is the number of these backends.
	Failures int
}

// Label implements Reason.
func (Quarantined) Label() string { return LabelQuarantined }

// LabelQuarantined is the label of Quarantined.
const LabelQuarantined = "quarantined"

// String implements fmt.Stringer.
func (r Quarantined) String() string {
	return fmt.Sprintf("%d back ends ended under requests like it", r.Failures)
}

// Label implements Reason.
func (Gone) Label() string { return "gone" }

// Label implements Reason.
func (Draining) Label() string { return "draining" }

// Label implements Reason.
func (Evacuated) Label() string { return "evacuated" }

// Label implements Reason.
func (OtherRegion) Label() string { return "other_region" }

// Label implements Reason.
func (EvacuationsOutdated) Label() string { return "beliefs_old" }

// Label implements Reason.
func (NoModel) Label() string { return "no_model" }

// Label implements Reason.
func (OtherWeights) Label() string { return "other_weights" }

// Label implements Reason.
func (Loading) Label() string { return "loading" }

// Label implements Reason.
func (Cold) Label() string { return "cold" }

// String implements fmt.Stringer.
func (Gone) String() string { return "no longer in the registry" }

// String implements fmt.Stringer.
func (Draining) String() string { return "draining" }

// String implements fmt.Stringer.
func (r Evacuated) String() string {
	return fmt.Sprintf("zone %s is evacuated, known for %d ms", r.Zone, r.Elapsed.Milliseconds())
}

// String implements fmt.Stringer.
func (r OtherRegion) String() string {
	return fmt.Sprintf("region %q is not allowed for the request, allowed: %q", r.Region, r.Allowed)
}

// String implements fmt.Stringer.
func (r EvacuationsOutdated) String() string {
	return fmt.Sprintf("evacuations were last confirmed %d ms ago", r.Age.Milliseconds())
}

// String implements fmt.Stringer.
func (NoModel) String() string { return "does not hold the model" }

// String implements fmt.Stringer.
func (r OtherWeights) String() string { return fmt.Sprintf("holds version %d", r.Version) }

// String implements fmt.Stringer.
func (Loading) String() string { return "weights are being changed" }

// String implements fmt.Stringer.
func (r Cold) String() string {
	return fmt.Sprintf("cold for %d ms more, no turn left", r.Left.Milliseconds())
}

// Error is the error for a call that was not sent because the backend is not eligible.
type Error struct{ Reason Reason }

// LabelOf returns the label of the Reason of an *Error in the chain of err, empty if there is
// none.
func LabelOf(err error) string {
	var refused *Error
	if errors.As(err, &refused) {
		return refused.Reason.Label()
	}
	return ""
}

// Error implements error.
func (e *Error) Error() string { return "back end is not eligible: " + e.Reason.String() }
