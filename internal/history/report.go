package history

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Promise is the number of a promise of the product, from 1 to PromiseCount.
type Promise int

// The promises, in the order in which the product's requirements list them.
const (
	PromiseTrueVersions Promise = iota + 1
	PromiseVersionBound
	PromiseExactlyOnce
	PromiseRightAnswer
	PromiseRefusedNotRun
	PromiseAtMostOnce
	PromiseDrained
	PromisePlannedStop
	PromiseConfiguration
)

// PromiseCount is the number of promises.
const PromiseCount = 9

var promiseNames = [PromiseCount + 1]string{
	PromiseTrueVersions:  "samples name the versions that produced them",
	PromiseVersionBound:  "no sample beyond the version bound",
	PromiseExactlyOnce:   "every sample exactly once",
	PromiseRightAnswer:   "the whole answer, and the right one",
	PromiseRefusedNotRun: "refused means not run",
	PromiseAtMostOnce:    "not repeatable, at most once",
	PromiseDrained:       "no new work on a leaving back end",
	PromisePlannedStop:   "a planned stop cuts nothing",
	PromiseConfiguration: "accepted configuration everywhere, never reverts",
}

// String returns the promise in words.
func (p Promise) String() string {
	if p < 1 || p > PromiseCount {
		return fmt.Sprintf("promise %d", int(p))
	}
	return promiseNames[p]
}

// State is the outcome for one promise.
type State string

const (
	// StateHeld means that the promise was judged and no breach was found.
	StateHeld State = "held"
	// StateBroken means that the history shows a breach.
	StateBroken State = "broken"
	// StateNotExercised means that the history has nothing to judge it by.
	StateNotExercised State = "not exercised"
)

// Evidence is an event of a violation, where it stands, and when.
type Evidence struct {
	At       string `json:"at"`
	AtMicros int64  `json:"at_us"`
	Kind     Kind   `json:"kind"`
	Process  string `json:"process"`
}

// Violation is one breach.
type Violation struct {
	Message string     `json:"message"`
	Events  []Evidence `json:"events"`
}

// Verdict is what was found about one promise.
type Verdict struct {
	Promise Promise `json:"promise"`
	Name    string  `json:"name"`
	State   State   `json:"state"`
	// Judged counts what the promise was tested on, in the unit Unit.
	Judged int    `json:"judged"`
	Unit   string `json:"unit"`
	// Unjudged counts what could not be tested because the history lacks the
	// truth about it, for example after a back end was killed.
	Unjudged int `json:"unjudged"`
	// ViolationCount counts all breaches, Violations names the first of them.
	ViolationCount int         `json:"violation_count"`
	Violations     []Violation `json:"violations,omitempty"`
}

// maxViolations bounds the violations that a Verdict names.
const maxViolations = 20

func newVerdict(promise Promise, unit string) *Verdict {
	return &Verdict{Promise: promise, Name: promise.String(), Unit: unit}
}

// breach notes a violation.
func (v *Verdict) breach(events []Evidence, format string, args ...any) {
	v.ViolationCount++
	if len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, Violation{Message: fmt.Sprintf(format, args...), Events: events})
	}
}

// settled returns the verdict with its State.
func (v *Verdict) settled() Verdict {
	switch {
	case v.ViolationCount > 0:
		v.State = StateBroken
	case v.Judged > 0:
		v.State = StateHeld
	default:
		v.State = StateNotExercised
	}
	return *v
}

// Report holds a verdict on every promise, in their order.
type Report struct {
	Events   int       `json:"events"`
	Verdicts []Verdict `json:"verdicts"`
}

// OK tells whether at least one promise was judged, none was broken, and every
// required one was judged.
func (r Report) OK(required ...Promise) bool {
	judged := false
	for _, verdict := range r.Verdicts {
		if verdict.State == StateBroken {
			return false
		}
		judged = judged || verdict.State == StateHeld
	}
	return judged && len(r.Missing(required...)) == 0
}

// Missing returns the required promises that were not judged.
func (r Report) Missing(required ...Promise) []Promise {
	var missing []Promise
	for _, promise := range required {
		judged := slices.ContainsFunc(r.Verdicts, func(v Verdict) bool {
			return v.Promise == promise && v.State != StateNotExercised
		})
		if !judged {
			missing = append(missing, promise)
		}
	}
	return missing
}

// WriteTable writes the report as a table, followed by the violations.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "#\tpromise\tverdict\tjudged\tnot judged\tbreaches")
	for _, v := range r.Verdicts {
		fmt.Fprintf(table, "%d\t%s\t%s\t%d %s\t%d\t%d\n", v.Promise, v.Name, v.State, v.Judged, v.Unit, v.Unjudged, v.ViolationCount)
	}
	if err := table.Flush(); err != nil {
		return ErrSink.Wrap(err)
	}
	for _, v := range r.Verdicts {
		if err := v.writeViolations(w); err != nil {
			return ErrSink.Wrap(err)
		}
	}
	return nil
}

func (v Verdict) writeViolations(w io.Writer) error {
	for _, violation := range v.Violations {
		if _, err := fmt.Fprintf(w, "promise %d: %s\n", v.Promise, violation.Message); err != nil {
			return err
		}
		for _, event := range violation.Events {
			if _, err := fmt.Fprintf(w, "    %s  %s by %s at %d us\n", event.At, event.Kind, event.Process, event.AtMicros); err != nil {
				return err
			}
		}
	}
	if rest := v.ViolationCount - len(v.Violations); rest > 0 {
		_, err := fmt.Fprintf(w, "promise %d: and %d more\n", v.Promise, rest)
		return err
	}
	return nil
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
