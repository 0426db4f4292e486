package migrate

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Plan is every wave of a move with its expected effect, worked out from one
// snapshot.
type Plan struct {
	Pool string `json:"pool"`
	// From is the site that is drained and To the one that is resumed, also
	// where the plan is to undo.
	From string `json:"from"`
	To   string `json:"to"`
	Undo bool   `json:"undo"`
	// Revision is the revision of the configuration that the plan is for.
	Revision int64     `json:"revision"`
	AsOf     time.Time `json:"as_of"`
	// Target is the version that engines must have; zero for none.
	Target    int64    `json:"target_version,omitempty"`
	WaveShare float64  `json:"wave_share"`
	MinFree   float64  `json:"min_free"`
	Progress  Progress `json:"progress"`
	// Load is the load before the first wave.
	Load  Load   `json:"load"`
	Waves []Wave `json:"waves"`
	// Complete says that the waves drain all of the old site. Blocked says why
	// they do not.
	Complete bool   `json:"complete"`
	Blocked  string `json:"blocked,omitempty"`
	// FinishMS is the mean time that work in flight needs to finish, in
	// milliseconds, at the observed rate; nil where that is not known.
	FinishMS *int64   `json:"finish_ms"`
	Risks    []string `json:"risks,omitempty"`
	options  Options
}

// Wave resumes back ends of the new site and then drains some of the old.
type Wave struct {
	Number int      `json:"number"`
	Resume []string `json:"resume,omitempty"`
	Drain  []string `json:"drain,omitempty"`
	// Load is expected after the wave.
	Load Load `json:"load"`
	// Versions counts the back ends that serve after the wave by what they have
	// loaded, lowest first.
	Versions []VersionCount `json:"versions,omitempty"`
	// InFlight runs now on the back ends to drain; nil where one of them has no
	// report.
	InFlight *int `json:"in_flight"`
	// Waits lists what must come about before the wave can be carried out.
	Waits []string `json:"waits,omitempty"`
}

// VersionCount counts back ends that have a version; zero stands for none.
type VersionCount struct {
	Version  int64 `json:"version"`
	Backends int   `json:"backends"`
}

// NewPlan works out the waves that lead from the snapshot to the end of the
// move.
func NewPlan(snapshot Snapshot, options Options) (Plan, error) {
	p, err := newPosition(snapshot, options)
	if err != nil {
		return Plan{}, err
	}
	from, to := options.sites()
	plan := Plan{
		Pool: options.Pool, From: from, To: to, Undo: options.Undo,
		Revision: snapshot.Revision, AsOf: snapshot.AsOf, Target: snapshot.Target,
		WaveShare: options.WaveShare, MinFree: options.MinFree,
		Progress: p.progress(), Load: p.load(), Waves: []Wave{}, options: options,
		FinishMS: finishTime(p, snapshot.FinishedPerSecond),
		Risks:    risks(snapshot, p),
	}
	last := plan.addWaves(p)
	plan.Complete = last.Action == ActionDone
	plan.Blocked = last.Reason
	return plan, nil
}

// Options returns the options that the plan was worked out with.
func (p Plan) Options() Options { return p.options }

// addWaves supposes one step after the other and returns the last, which
// changes nothing. Each other step moves a back end for good, so it ends.
func (p *Plan) addWaves(at *position) Step {
	for {
		step := at.choose()
		if step.Action != ActionResume && step.Action != ActionDrain {
			return step
		}
		wave := p.waveFor(step.Action)
		if step.Action == ActionResume {
			wave.Waits = append(wave.Waits, at.waits(step)...)
			wave.Resume = append(wave.Resume, step.Backends...)
		} else {
			wave.Drain = append(wave.Drain, step.Backends...)
		}
		wave.InFlight = at.running(wave.Drain)
		at.suppose(step)
		wave.Load = at.load()
		wave.Versions = at.versions()
	}
}

// waveFor returns the wave that a step of that action belongs to.
func (p *Plan) waveFor(action Action) *Wave {
	last := len(p.Waves) - 1
	if last < 0 || len(p.Waves[last].Drain) > 0 || action == ActionResume {
		p.Waves = append(p.Waves, Wave{Number: last + 2})
	}
	return &p.Waves[len(p.Waves)-1]
}

// waits names the back ends that must first load the target.
func (p *position) waits(step Step) []string {
	var found []string
	for _, backend := range p.backends {
		if slices.Contains(step.Backends, backend.Name) && !backend.current(p.target) {
			found = append(found, p.behind(backend))
		}
	}
	return found
}

func (p *position) versions() []VersionCount {
	if p.target == 0 {
		return nil
	}
	var counts []VersionCount
	for _, backend := range p.backends {
		if !backend.serves() {
			continue
		}
		at := slices.IndexFunc(counts, func(c VersionCount) bool { return c.Version == backend.Report.Version })
		if at < 0 {
			at = len(counts)
			counts = append(counts, VersionCount{Version: backend.Report.Version})
		}
		counts[at].Backends++
	}
	slices.SortFunc(counts, func(a, b VersionCount) int { return int(a.Version - b.Version) })
	return counts
}

// finishTime is the mean time in flight by Little's law: what runs, divided by
// the rate at which it finishes.
func finishTime(p *position, finishedPerSecond *float64) *int64 {
	if finishedPerSecond == nil || *finishedPerSecond <= 0 {
		return nil
	}
	running := 0
	for _, backend := range p.backends {
		if backend.Report != nil {
			running += backend.Report.Running
		}
	}
	mean := int64(1000 * float64(running) / *finishedPerSecond)
	return &mean
}

// risks lists what an operator should know before the first change.
func risks(snapshot Snapshot, p *position) []string {
	var found []string
	note := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	if len(snapshot.NotHeard) > 0 {
		note("not heard from %s; reports that only they have count as unknown", strings.Join(snapshot.NotHeard, ", "))
	}
	for _, i := range p.to {
		if text := p.riskAtTo(p.backends[i]); text != "" {
			note("%s", text)
		}
	}
	for _, i := range p.from {
		if text := riskAtFrom(p.backends[i], p.options.Undo); text != "" {
			note("%s", text)
		}
	}
	for _, name := range p.options.Except {
		if !slices.ContainsFunc(p.backends, func(b Backend) bool { return b.Name == name }) {
			note("%s is to be left as it is, and the pool has no such back end", name)
		}
	}
	if finishTime(p, snapshot.FinishedPerSecond) == nil {
		note("no sample was seen to finish, so how long work in flight needs is unknown")
	}
	return found
}

func (p *position) riskAtTo(backend Backend) string {
	switch {
	case backend.Drained && backend.WiderOrder != "":
		return fmt.Sprintf("%s cannot be resumed alone: it is drained by the order for %s", backend.Name, backend.WiderOrder)
	case backend.Drained && backend.Report == nil:
		return fmt.Sprintf("%s has no recent report; it stays drained", backend.Name)
	case backend.Drained && !backend.current(p.target):
		return p.behind(backend) + "; it is resumed once it has"
	case !backend.Drained && p.notServing(backend) != "":
		return p.notServing(backend) + "; nothing is changed until it does, and the run stops if that takes too long"
	}
	return ""
}

func riskAtFrom(backend Backend, undo bool) string {
	switch {
	case !backend.Drained && backend.Report == nil:
		return fmt.Sprintf("%s has no recent report; it counts as full", backend.Name)
	case backend.Drained && backend.Report == nil:
		return fmt.Sprintf("%s is drained and has no recent report; what runs there is unknown", backend.Name)
	case backend.Drained && !undo && backend.WiderOrder != "":
		return fmt.Sprintf("%s is drained by the order for %s; undoing does not resume it", backend.Name, backend.WiderOrder)
	}
	return ""
}
