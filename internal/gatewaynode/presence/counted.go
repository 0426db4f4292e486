package presence

import "time"

// countedShare is for how long a node that sees no beat of its own come back may rely on
// the others counting it, as a share of the silence after which they do not. The rest
// covers that they may have seen its last beat a pace of their views earlier.
const countedShare = 0.75

// Counted tells whether the others are sure to count this node as live: it has seen a
// beat of its own come back of late. Who has a share of something by its place among the
// live nodes may use it only then.
func (r *Registry) Counted(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := time.Duration(countedShare * float64(r.lapse(len(r.nodes))))
	return r.self.State == Ready && !r.echoed.IsZero() && now.Sub(r.echoed) <= most
}
