package eligibility

import (
	"errors"
	"fmt"
	"time"
)

// Reason is why a back end may not get a request. It is one of the types below; a nil
// Reason means that it may.
type Reason interface {
	// Label names the reason in logs and metrics; there are few labels.
	Label() string
	fmt.Stringer
}

// Gone says that the registry no longer holds the back end.
type Gone struct{}

// Draining says that the back end is leaving.
type Draining struct{}

// Evacuated says that the back end's zone is to get nothing.
type Evacuated struct {
	Zone string
	// For is how long this node has known it.
	For time.Duration
}

// OtherRegion says that the back end's region may not serve the request.
type OtherRegion struct {
	Region  string
	Allowed string
}

// BeliefsOld says that the node cannot tell whether the zone is evacuated.
type BeliefsOld struct{ Age time.Duration }

// NoModel says that the back end does not hold the model.
type NoModel struct{}

// OtherWeights says that the back end's weights are older than the oldest version that
// may answer, or not of the only one that may.
type OtherWeights struct{ Version int64 }

// Loading says that the back end's weights of the model are being changed.
type Loading struct{}

// Cold says that the back end is cold and that this node has no turn left.
type Cold struct {
	// Left is how much longer the back end is expected to be cold.
	Left time.Duration
}

// Quarantined says that back ends ended under what the request asks for: none is to run it.
type Quarantined struct{ Ends int }

// Label implements Reason.
func (Quarantined) Label() string { return LabelQuarantined }

// LabelQuarantined is the label of Quarantined.
const LabelQuarantined = "quarantined"

// String implements fmt.Stringer.
func (r Quarantined) String() string {
	return fmt.Sprintf("%d back ends ended under requests like it", r.Ends)
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
func (BeliefsOld) Label() string { return "beliefs_old" }

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
func (Draining) String() string { return "leaving" }

// String implements fmt.Stringer.
func (r Evacuated) String() string {
	return fmt.Sprintf("zone %s is evacuated, known for %d ms", r.Zone, r.For.Milliseconds())
}

// String implements fmt.Stringer.
func (r OtherRegion) String() string {
	return fmt.Sprintf("region %q may not serve it, allowed: %q", r.Region, r.Allowed)
}

// String implements fmt.Stringer.
func (r BeliefsOld) String() string {
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

// Error is a Reason as an error: a call was not sent since its back end may not get it.
type Error struct{ Reason Reason }

// LabelOf returns the label of the reason that an error tells, empty if it tells none.
func LabelOf(err error) string {
	var withheld *Error
	if errors.As(err, &withheld) {
		return withheld.Reason.Label()
	}
	return ""
}

// Error implements error.
func (e *Error) Error() string { return "back end may not get it: " + e.Reason.String() }
