package presence

import "time"

// countedBeats is for how many beats a node that sees no beat of its own come back may
// rely on the others counting it: they miss lapseBeats before they do not.
const countedBeats = 2

// Counted tells whether the others are sure to count this node as live: it has seen a
// beat of its own come back of late. Who has a share of something by its place among the
// live nodes may use it only then.
func (r *Registry) Counted(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self.State == Ready && !r.echoed.IsZero() && now.Sub(r.echoed) <= countedBeats*r.beat(len(r.nodes))
}
