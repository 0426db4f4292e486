package migrate

import (
	"fmt"
	"slices"

	"github.com/sliplift/sliplift/internal/api"
)

// Action is what a step does.
type Action string

const (
	ActionResume Action = "resume"
	ActionDrain  Action = "drain"
	// ActionWait means that the last step has not taken effect yet.
	ActionWait Action = "wait"
	// ActionBlocked means that no step is possible as things are.
	ActionBlocked Action = "blocked"
	ActionDone    Action = "done"
)

// Step is what to do next.
type Step struct {
	Action Action `json:"action"`
	// Backends are named by ActionResume and ActionDrain, in order.
	Backends []string `json:"backends,omitempty"`
	// Reason says why to wait or why nothing can be done.
	Reason string `json:"reason,omitempty"`
}

// NextStep returns the step that follows from the snapshot.
func NextStep(snapshot Snapshot, options Options) (Step, error) {
	p, err := newPosition(snapshot, options)
	if err != nil {
		return Step{}, err
	}
	if reason := p.unsettled(); reason != "" {
		return Step{Action: ActionWait, Reason: reason}, nil
	}
	step := p.choose()
	switch step.Action {
	case ActionResume:
		return p.onlyCurrent(step), nil
	case ActionDone:
		if load := p.load(); !load.fits(options.MinFree) {
			return Step{Action: ActionWait, Reason: p.overload(load)}, nil
		}
	}
	return step, nil
}

// unsettled says what of the earlier steps has not taken effect.
func (p *position) unsettled() string {
	for _, i := range p.to {
		if reason := p.notServing(p.backends[i]); reason != "" {
			return reason
		}
	}
	for _, i := range p.from {
		backend := p.backends[i]
		if backend.Drained && backend.Report != nil && backend.Report.Role == string(api.RoleServing) {
			return fmt.Sprintf("%s is drained and still reports role serving", backend.Name)
		}
	}
	return ""
}

// notServing says why a back end that was resumed cannot be counted on.
func (p *position) notServing(backend Backend) string {
	switch {
	case backend.Drained:
		return ""
	case backend.Report == nil:
		return fmt.Sprintf("%s should serve and has no recent report", backend.Name)
	case !backend.serves():
		return fmt.Sprintf("%s should serve and reports role %s", backend.Name, backend.Report.Role)
	case !backend.current(p.target):
		return p.behind(backend)
	}
	return ""
}

func (p *position) behind(backend Backend) string {
	text := fmt.Sprintf("%s has version %d, the target is %d", backend.Name, backend.Report.Version, p.target)
	if backend.Report.LoadError != "" {
		text += "; its last load failed: " + backend.Report.LoadError
	}
	return text
}

func (p *position) overload(load Load) string {
	return fmt.Sprintf("demand %d of capacity %d leaves less than the share %.2f free", load.Demand, load.Capacity, p.options.MinFree)
}

// choose takes the decision that the plan and a run share. Back ends of both
// sites move in steps of the same share, so wave k of the new site comes before
// wave k of the old one.
func (p *position) choose() Step {
	candidates := p.candidates()
	progress := p.progress()
	remaining := progress.FromTotal - progress.FromDrained
	if remaining == 0 {
		return p.chooseRest(candidates)
	}
	resumeSize, drainSize := p.options.stepSize(len(p.to)), p.options.stepSize(len(p.from))
	wave := progress.FromDrained / drainSize
	if missing := (wave+1)*resumeSize - progress.ToServing; missing > 0 && len(candidates) > 0 {
		return resume(candidates, min(missing, resumeSize))
	}
	if progress.ToServing == 0 {
		return Step{Action: ActionBlocked, Reason: "no back end of the site to move to is in service or can be resumed"}
	}
	drained := p.drainable(drainSize - progress.FromDrained%drainSize)
	switch {
	case len(drained) > 0:
		return Step{Action: ActionDrain, Backends: drained}
	case len(candidates) > 0:
		return resume(candidates, resumeSize)
	}
	return Step{Action: ActionBlocked, Reason: p.whyBlocked(remaining)}
}

// chooseRest resumes what is left once the old site is drained.
func (p *position) chooseRest(candidates []Backend) Step {
	if len(candidates) == 0 {
		return Step{Action: ActionDone}
	}
	return resume(candidates, p.options.stepSize(len(p.to)))
}

func resume(candidates []Backend, count int) Step {
	step := Step{Action: ActionResume}
	for _, backend := range candidates[:min(count, len(candidates))] {
		step.Backends = append(step.Backends, backend.Name)
	}
	return step
}

// onlyCurrent leaves out back ends that have not loaded the target version: a
// drained engine loads it as well, so it is waited for.
func (p *position) onlyCurrent(step Step) Step {
	ready := Step{Action: ActionResume}
	reason := ""
	for _, backend := range p.backends {
		switch {
		case !slices.Contains(step.Backends, backend.Name):
		case backend.current(p.target):
			ready.Backends = append(ready.Backends, backend.Name)
		default:
			reason = p.behind(backend)
		}
	}
	if len(ready.Backends) == 0 {
		return Step{Action: ActionWait, Reason: reason}
	}
	return ready
}

// drainable returns up to count back ends of the old site that can be spared.
// The demand stays the same whatever is drained, only the capacity goes.
func (p *position) drainable(count int) []string {
	load := p.load()
	var names []string
	for _, i := range p.from {
		backend := p.backends[i]
		if backend.Drained || len(names) == count {
			continue
		}
		without := load
		if backend.serves() {
			without.Capacity -= backend.Report.Capacity
		}
		if without.fits(p.options.MinFree) {
			load = without
			names = append(names, backend.Name)
		}
	}
	return names
}

func (p *position) whyBlocked(remaining int) string {
	load := p.load()
	if load.Capacity == 0 {
		return fmt.Sprintf("none of the %d that remain can be drained: no back end that serves reports", remaining)
	}
	return fmt.Sprintf("none of the %d that remain can be drained: demand is %d of capacity %d, and without one of them less than the share %.2f is free",
		remaining, load.Demand, load.Capacity, p.options.MinFree)
}
