package migrate

import (
	"slices"
	"strings"

	"github.com/sliplift/sliplift/internal/api"
)

// Load compares what the pool has to do with what it can do at a time.
type Load struct {
	// Demand counts what runs and waits, and a full back end for each that
	// should serve and has no recent report.
	Demand int `json:"demand"`
	// Capacity sums the back ends that serve and report.
	Capacity int `json:"capacity"`
}

// fits tells whether the share of the capacity stays free.
func (l Load) fits(minFree float64) bool {
	return l.Capacity > 0 && float64(l.Demand) <= (1-minFree)*float64(l.Capacity)
}

// Progress counts how far the move is.
type Progress struct {
	FromDrained int `json:"from_drained"`
	FromTotal   int `json:"from_total"`
	ToServing   int `json:"to_in_service"`
	ToTotal     int `json:"to_total"`
}

// position is a snapshot sorted by the sites of a move. It is changed while a
// plan is worked out, and shares nothing with the snapshot.
type position struct {
	options  Options
	target   int64
	backends []Backend
	// from and to are places in backends, in the order in which they are moved.
	from, to []int
	// supposed is the demand of back ends without a report that the plan has
	// drained: what they did must be done elsewhere.
	supposed int
}

// newPosition drops reports that are too old to act on.
func newPosition(snapshot Snapshot, options Options) (*position, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	p := &position{options: options, target: snapshot.Target, backends: slices.Clone(snapshot.Backends)}
	slices.SortFunc(p.backends, func(a, b Backend) int { return strings.Compare(a.Name, b.Name) })
	from, to := options.sites()
	for i := range p.backends {
		backend := &p.backends[i]
		if backend.Report != nil && backend.Report.Age > options.MaxReportAge {
			backend.Report = nil
		}
		switch {
		case options.excepts(backend.Name):
		case backend.Site == from:
			p.from = append(p.from, i)
		case backend.Site == to:
			p.to = append(p.to, i)
		}
	}
	if len(p.from) == 0 {
		return nil, ErrNotFound.Errorf("pool %q has no back end to move at site %q", options.Pool, from)
	}
	if len(p.to) == 0 {
		return nil, ErrNotFound.Errorf("pool %q has no back end to move at site %q", options.Pool, to)
	}
	return p, nil
}

// drain supposes that back end i is drained.
func (p *position) drain(i int) {
	if p.backends[i].Report == nil {
		p.supposed += p.meanCapacity()
	}
	p.backends[i].Drained = true
}

// resume supposes that back end i is resumed and has loaded the target.
func (p *position) resume(i int) {
	report := *p.backends[i].Report
	report.Role = string(api.RoleServing)
	if p.target != 0 {
		report.Version = p.target
	}
	p.backends[i].Report = &report
	p.backends[i].Drained = false
}

// suppose takes the step as carried out.
func (p *position) suppose(step Step) {
	for i, backend := range p.backends {
		switch {
		case !slices.Contains(step.Backends, backend.Name):
		case step.Action == ActionResume:
			p.resume(i)
		case step.Action == ActionDrain:
			p.drain(i)
		}
	}
}

func (p *position) progress() Progress {
	result := Progress{FromTotal: len(p.from), ToTotal: len(p.to)}
	for _, i := range p.from {
		result.FromDrained += one(p.backends[i].Drained)
	}
	for _, i := range p.to {
		result.ToServing += one(!p.backends[i].Drained)
	}
	return result
}

func one(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// load counts the whole pool, with back ends of other sites and those that are
// left as they are.
func (p *position) load() Load {
	load := Load{Demand: p.supposed}
	full := p.meanCapacity()
	for _, backend := range p.backends {
		switch {
		case backend.Report != nil:
			load.Demand += backend.Report.Running + backend.Report.Waiting
		case !backend.Drained:
			load.Demand += full
		}
		if backend.serves() {
			load.Capacity += backend.Report.Capacity
		}
	}
	return load
}

// meanCapacity stands in for the work of a back end that does not report.
func (p *position) meanCapacity() int {
	sum, known := 0, 0
	for _, backend := range p.backends {
		if backend.Report != nil {
			sum += backend.Report.Capacity
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return (sum + known - 1) / known
}

// running sums what runs on the named back ends, nil where one of them has no
// report.
func (p *position) running(names []string) *int {
	sum := 0
	for _, backend := range p.backends {
		if !slices.Contains(names, backend.Name) {
			continue
		}
		if backend.Report == nil {
			return nil
		}
		sum += backend.Report.Running
	}
	return &sum
}

// candidates returns the back ends that may be resumed, those with the target
// version first. Those without a report are never resumed.
func (p *position) candidates() []Backend {
	var current, behind []Backend
	for _, i := range p.to {
		backend := p.backends[i]
		switch {
		case !backend.resumable() || backend.Report == nil:
		case backend.current(p.target):
			current = append(current, backend)
		default:
			behind = append(behind, backend)
		}
	}
	return append(current, behind...)
}
