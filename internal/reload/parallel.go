package reload

import "time"

const (
	// parallelFirst is how many back ends of a service load at once to begin with.
	parallelFirst = 2
	// parallelGain is how much more must be loaded in a time for a higher level to
	// be kept.
	parallelGain = 1.25
	// parallelForget is after how long a level that brought nothing is tried again.
	parallelForget = 5 * time.Minute
)

// parallelism finds how many loads at once bring the most: it goes up while
// there is a backlog and more at once loads more in a time, and goes back where
// loads only take longer. It is not safe for concurrent use.
type parallelism struct {
	level, before int
	ceiling       int
	ceilingAt     time.Time
	times         map[int]*loadTimes
}

// loadTimes are of loads at one level. The longest counts: a load that began
// while another was over but not yet reported so is no measure of the level.
type loadTimes struct {
	count   int
	longest time.Duration
}

func newParallelism() *parallelism {
	return &parallelism{level: parallelFirst, before: parallelFirst, times: make(map[int]*loadTimes)}
}

// observe records a load that began while atOnce were under way, itself among
// them; backlog tells whether more are waiting.
func (p *parallelism) observe(atOnce int, took time.Duration, backlog bool, now time.Time) {
	if atOnce != p.level {
		return
	}
	times := p.times[atOnce]
	if times == nil {
		times = &loadTimes{}
		p.times[atOnce] = times
	}
	times.count++
	times.longest = max(times.longest, took)
	if times.count < atOnce {
		return
	}
	switch {
	case p.level > p.before && p.rate(p.level) < parallelGain*p.rate(p.before):
		p.ceiling, p.ceilingAt = p.level, now
		delete(p.times, p.level)
		p.level = p.before
	case backlog && p.mayRise(now):
		p.before = p.level
		p.level = p.next()
		delete(p.times, p.level)
	}
}

func (p *parallelism) next() int { return p.level + (p.level+1)/2 }

func (p *parallelism) mayRise(now time.Time) bool {
	return p.ceiling == 0 || p.next() < p.ceiling || now.Sub(p.ceilingAt) > parallelForget
}

// rate returns how many loads a second a level brings.
func (p *parallelism) rate(level int) float64 {
	times := p.times[level]
	if times == nil || times.longest == 0 {
		return 0
	}
	return float64(level) / times.longest.Seconds()
}
