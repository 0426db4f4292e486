package routing

import "slices"

// Reason says why a back end was left out of a choice; empty for one that was
// eligible.
type Reason string

const (
	ReasonEligible   Reason = ""
	ReasonExcluded   Reason = "excluded"
	ReasonDraining   Reason = "draining"
	ReasonSuspect    Reason = "suspect"
	ReasonAtLimit    Reason = "at_limit"
	ReasonOldVersion Reason = "old_version"
	// ReasonNoSlot means that the request's Admission leaves no slot.
	ReasonNoSlot Reason = "no_slot"
)

// Considered is one back end in an Explanation.
type Considered struct {
	Backend string `json:"backend"`
	Reason  Reason `json:"reason,omitempty"`
	// Score is what the policy compared; lower is better.
	Score    float64 `json:"score"`
	InFlight int     `json:"in_flight"`
	Version  int64   `json:"version,omitempty"`
}

// Explanation tells why a back end was chosen, or why none was.
type Explanation struct {
	Policy     PolicyName   `json:"policy"`
	Chosen     string       `json:"chosen,omitempty"`
	Considered []Considered `json:"considered"`
	// UsedSuspect says that only suspect back ends were left.
	UsedSuspect bool `json:"used_suspect,omitempty"`
}

// Choice is the result of Choose.
type Choice struct {
	Backend     Backend
	Found       bool
	Explanation Explanation
}

// HeldByLimit tells whether some back end could take the request but for its
// in-flight limit or its admission.
func (e *Explanation) HeldByLimit() bool {
	return slices.ContainsFunc(e.Considered, func(c Considered) bool {
		return c.Reason == ReasonAtLimit || c.Reason == ReasonNoSlot
	})
}

// Choose picks a back end of pool for request. Suspect back ends are used only
// where no other is left; a healthy one that is at its limit counts as left,
// because it will soon be free.
func Choose(policy Policy, pool *Pool, request *Request) Choice {
	explanation := Explanation{Policy: policy.Name(), Considered: make([]Considered, len(pool.Backends))}
	eligible := make([]int, 0, len(pool.Backends))
	var suspect []int
	for i := range pool.Backends {
		b := &pool.Backends[i]
		reason := reasonAgainst(b, request)
		explanation.Considered[i] = Considered{Backend: b.Name, Reason: reason, InFlight: b.InFlight, Version: b.Version}
		switch reason {
		case ReasonEligible:
			eligible = append(eligible, i)
		case ReasonSuspect:
			suspect = append(suspect, i)
		}
	}
	if len(eligible) == 0 && !explanation.HeldByLimit() {
		eligible = suspect
		explanation.UsedSuspect = len(suspect) > 0
	}
	if len(eligible) == 0 {
		return Choice{Explanation: explanation}
	}
	scores := make([]float64, len(eligible))
	chosen := eligible[policy.Choose(pool.Backends, eligible, scores, request)]
	for k, i := range eligible {
		explanation.Considered[i].Score = scores[k]
	}
	explanation.Chosen = pool.Backends[chosen].Name
	return Choice{Backend: pool.Backends[chosen], Found: true, Explanation: explanation}
}

func reasonAgainst(b *Backend, request *Request) Reason {
	switch {
	case slices.Contains(request.Excluded, b.Name):
		return ReasonExcluded
	case b.Draining:
		return ReasonDraining
	case b.Version < request.MinVersion:
		return ReasonOldVersion
	case b.Limit > 0 && b.InFlight >= b.Limit:
		return ReasonAtLimit
	case request.Admission != nil && request.Admission.FreeSlots(b) <= 0:
		return ReasonNoSlot
	case b.Suspect:
		return ReasonSuspect
	}
	return ReasonEligible
}
