package migrate

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// namesShown is the number of names after which a list is cut in a table; the
// JSON form has them all.
const namesShown = 6

// unknownText stands for what is not known.
const unknownText = "unknown"

// RenderPlan writes the plan for people.
func RenderPlan(w io.Writer, plan Plan) error {
	verb := "migrate"
	if plan.Undo {
		verb = "undo the migration:"
	}
	fmt.Fprintf(w, "%s pool %s from site %s to site %s, planned for revision %d as of %s\n",
		verb, plan.Pool, plan.From, plan.To, plan.Revision, plan.AsOf.UTC().Format(time.RFC3339))
	fmt.Fprintf(w, "now: %s; %s\n", describeProgress(plan.Progress, plan.From, plan.To), describeLoad(plan.Load))
	if len(plan.Waves) > 0 {
		if err := renderWaves(w, plan); err != nil {
			return err
		}
	}
	for _, risk := range plan.Risks {
		fmt.Fprintf(w, "risk: %s\n", risk)
	}
	_, err := fmt.Fprintln(w, verdict(plan))
	return err
}

func renderWaves(w io.Writer, plan Plan) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "wave\tresume\tdrain\tcapacity\tdemand\tload\tin_flight\tfinish_in\tversions")
	for _, wave := range plan.Waves {
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\n", wave.Number, names(wave.Resume), names(wave.Drain),
			wave.Load.Capacity, wave.Load.Demand, percentage(wave.Load), count(wave.InFlight), finishIn(wave, plan.FinishMS), versionText(wave.Versions))
	}
	return table.Flush()
}

func verdict(plan Plan) string {
	switch {
	case !plan.Complete && len(plan.Waves) == 0:
		return "the plan is not complete: " + plan.Blocked
	case !plan.Complete:
		return fmt.Sprintf("the plan is not complete; after wave %d %s", len(plan.Waves), plan.Blocked)
	case len(plan.Waves) == 0:
		return "nothing is left to do"
	}
	return fmt.Sprintf("the plan is complete; nothing is drained unless %.0f%% of the capacity stays free", 100*plan.MinFree)
}

// RenderEvent writes what a run does as one line.
func RenderEvent(w io.Writer, event Event) {
	switch event.Step.Action {
	case ActionResume, ActionDrain:
		fmt.Fprintf(w, "%s %s at revision %d; %s\n", event.Step.Action, names(event.Step.Backends), event.Revision, describeLoad(event.Load))
	default:
		fmt.Fprintf(w, "waiting: %s\n", event.Step.Reason)
	}
}

// RenderOutcome writes how a run of the plan ended.
func RenderOutcome(w io.Writer, plan Plan, outcome Outcome) {
	fmt.Fprintf(w, "%s at revision %d", outcome.State, outcome.Revision)
	if outcome.Reason != "" {
		fmt.Fprintf(w, ": %s", outcome.Reason)
	}
	fmt.Fprintln(w)
	if outcome.Current {
		fmt.Fprintf(w, "now: %s; %s\n", describeProgress(outcome.Progress, plan.From, plan.To), describeLoad(outcome.Load))
		fmt.Fprintf(w, "still running on what is drained at %s: %s\n", plan.From, count(outcome.StillRunning))
	} else {
		fmt.Fprintf(w, "how things stand now is unknown; seen last: %s\n", describeProgress(outcome.Progress, plan.From, plan.To))
	}
	switch {
	case outcome.State == StateDone:
	case plan.Undo:
		fmt.Fprintln(w, "the same command goes on from here; without --undo it goes forth again")
	default:
		fmt.Fprintln(w, "the same command goes on from here; with --undo it goes back")
	}
}

func describeProgress(progress Progress, from, to string) string {
	return fmt.Sprintf("%d of %d drained at %s, %d of %d in service at %s",
		progress.FromDrained, progress.FromTotal, from, progress.ToServing, progress.ToTotal, to)
}

func describeLoad(load Load) string {
	if load.Capacity == 0 {
		return "the load is unknown: no back end that serves reports"
	}
	return fmt.Sprintf("demand %d of capacity %d (%s)", load.Demand, load.Capacity, percentage(load))
}

func percentage(load Load) string {
	if load.Capacity == 0 {
		return unknownText
	}
	return fmt.Sprintf("%.0f%%", 100*float64(load.Demand)/float64(load.Capacity))
}

func names(list []string) string {
	switch {
	case len(list) == 0:
		return "-"
	case len(list) > namesShown:
		return fmt.Sprintf("%s and %d more", strings.Join(list[:namesShown], ","), len(list)-namesShown)
	}
	return strings.Join(list, ",")
}

func count(number *int) string {
	if number == nil {
		return unknownText
	}
	return fmt.Sprint(*number)
}

func finishIn(wave Wave, finishMS *int64) string {
	switch {
	case wave.InFlight != nil && *wave.InFlight == 0:
		return "0s"
	case wave.InFlight == nil || finishMS == nil:
		return unknownText
	}
	return "~" + (time.Duration(*finishMS) * time.Millisecond).Round(100*time.Millisecond).String()
}

func versionText(versions []VersionCount) string {
	if len(versions) == 0 {
		return "-"
	}
	parts := make([]string, 0, len(versions))
	for _, version := range versions {
		name := fmt.Sprint(version.Version)
		if version.Version == 0 {
			name = "none"
		}
		parts = append(parts, fmt.Sprintf("%s (%d)", name, version.Backends))
	}
	return strings.Join(parts, ", ")
}
