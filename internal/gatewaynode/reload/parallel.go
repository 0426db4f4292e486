package reload

import (
	"slices"
	"time"
)

const (
	// parallelLeast is how many back ends of a service load at once at least.
	parallelLeast = 2
	// parallelShare is how many of a service's back ends load at once to begin
	// with, as a share: a load takes its turn on what all share, and what is shared
	// grows with the service.
	parallelShare = 1.0 / 6
	// parallelGain is how much more must be loaded in a time for a higher level to
	// be kept, parallelEven how much may be lost for a lower one to be kept.
	parallelGain = 1.25
	parallelEven = 0.9
	// parallelForget is after how long a level that brought nothing is tried again.
	parallelForget = 5 * time.Minute
	// loadQuantile is the share of the loads at a level that were no longer than
	// the time that counts for it. A load that began while another was over but not
	// yet reported so is shorter than the level's; one at a back end in trouble is
	// far longer.
	loadQuantile = 0.75
)

// parallelism finds the least number of loads at once that bring the most in a
// time: it goes up while there is a backlog and more at once load more, back
// where loads only take longer, and down where less at once load as much. It is
// not safe for concurrent use.
type parallelism struct {
	level, before int
	ceiling       int
	ceilingAt     time.Time
	// floor is a level that loaded less, 0 if none is known; saturated tells that
	// a higher level than the present one loads no more.
	floor     int
	saturated bool
	times     map[int][]time.Duration
}

// newParallelism returns the parallelism of a service with a number of back
// ends.
func newParallelism(backends int) *parallelism {
	level := max(parallelLeast, int(parallelShare*float64(backends)))
	return &parallelism{level: level, before: level, times: make(map[int][]time.Duration)}
}

// observe records a load that began while atOnce were under way, itself among
// them; backlog tells whether more are waiting.
func (p *parallelism) observe(atOnce int, took time.Duration, backlog bool, now time.Time) {
	if atOnce != p.level {
		return
	}
	p.times[atOnce] = append(p.times[atOnce], took)
	if len(p.times[atOnce]) < atOnce {
		return
	}
	rate, earlier := p.rate(p.level), p.rate(p.before)
	switch {
	case p.level > p.before && rate < parallelGain*earlier:
		p.ceiling, p.ceilingAt = p.level, now
		p.saturated = rate < earlier/parallelEven
		p.move(p.before)
	case p.level < p.before && rate < parallelEven*earlier:
		p.floor, p.saturated = p.level, false
		p.move(p.before)
	case p.saturated && p.lower() > p.floor && p.lower() < p.level:
		p.move(p.lower())
	case backlog && p.mayRise(now):
		p.move(p.next())
	default:
		p.before = p.level
		p.times[p.level] = nil
	}
}

// move goes to another level; the one left is what it is compared with, unless
// it is given up.
func (p *parallelism) move(level int) {
	if level == p.before {
		delete(p.times, p.level)
	} else {
		p.before = p.level
	}
	p.level = level
	p.times[level] = nil
}

func (p *parallelism) next() int { return p.level + (p.level+1)/2 }

func (p *parallelism) lower() int { return max(parallelLeast, p.level*2/3) }

func (p *parallelism) mayRise(now time.Time) bool {
	return p.ceiling == 0 || p.next() < p.ceiling || now.Sub(p.ceilingAt) > parallelForget
}

// rate returns how many loads a second a level brings.
func (p *parallelism) rate(level int) float64 {
	times := slices.Sorted(slices.Values(p.times[level]))
	if len(times) == 0 {
		return 0
	}
	place := min(int(loadQuantile*float64(len(times))), len(times)-1)
	if times[place] <= 0 {
		return 0
	}
	return float64(level) / times[place].Seconds()
}
