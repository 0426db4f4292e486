package claim

import "time"

// Decision is what a Round has come to.
type Decision int

const (
	// DecisionPending means that the round may still win.
	DecisionPending Decision = iota
	// DecisionWon means that the claimant may dispatch.
	DecisionWon
	// DecisionHeld means that another claimant holds the key, or may hold it.
	DecisionHeld
	// DecisionLost means that nobody is known to hold the key, and that this
	// claimant does not either.
	DecisionLost
)

// Round counts the votes on one token. It decides once: a vote that comes after
// the decision or after the deadline changes nothing.
type Round struct {
	token    Token
	groups   [][]Member
	deadline time.Time
	votes    map[string]Vote
	failed   map[string]bool
	decision Decision
	holder   Vote
}

// NewRound returns a round of token that needs a majority of each group before
// the deadline.
func NewRound(token Token, groups [][]Member, deadline time.Time) *Round {
	return &Round{
		token:    token,
		groups:   groups,
		deadline: deadline,
		votes:    make(map[string]Vote),
		failed:   make(map[string]bool),
	}
}

// Members returns every member to ask, each once.
func (r *Round) Members() []Member {
	var members []Member
	seen := make(map[string]bool)
	for _, group := range r.groups {
		for _, member := range group {
			if !seen[member.Name] {
				seen[member.Name] = true
				members = append(members, member)
			}
		}
	}
	return members
}

// Vote counts the first vote of a member.
func (r *Round) Vote(member string, vote Vote) {
	_, voted := r.votes[member]
	if r.decision != DecisionPending || voted {
		return
	}
	delete(r.failed, member)
	r.votes[member] = vote
}

// Fail says that no vote of the member is to be expected. It may have granted
// the token all the same.
func (r *Round) Fail(member string) {
	if _, voted := r.votes[member]; !voted {
		r.failed[member] = true
	}
}

// Holder returns the vote that tells most about the holder, for DecisionHeld.
func (r *Round) Holder() Vote { return r.holder }

// Decide returns the decision as of now. Once it is not pending it stays.
func (r *Round) Decide(now time.Time) Decision {
	if r.decision == DecisionPending {
		r.decision = r.decide(now)
	}
	return r.decision
}

func (r *Round) decide(now time.Time) Decision {
	if r.findRecord() {
		return DecisionHeld
	}
	closed := !now.Before(r.deadline)
	if !closed && r.wins() {
		return DecisionWon
	}
	if !closed && r.canWin() {
		return DecisionPending
	}
	if r.findPossibleHolder() {
		return DecisionHeld
	}
	return DecisionLost
}

// findRecord looks for a token that completed: it has won.
func (r *Round) findRecord() bool {
	for _, vote := range r.votes {
		if vote.Kind == VoteHeld && vote.Record != nil {
			r.holder = vote
			return true
		}
	}
	return false
}

func (r *Round) wins() bool {
	return r.allGroups(func(vote Vote, voted bool) bool {
		return voted && vote.Kind == VoteGranted
	})
}

func (r *Round) canWin() bool {
	for _, group := range r.groups {
		possible := 0
		for _, member := range group {
			vote, voted := r.votes[member.Name]
			granted := voted && vote.Kind == VoteGranted
			open := !voted && !r.failed[member.Name]
			if granted || open {
				possible++
			}
		}
		if possible < Majority(len(group)) {
			return false
		}
	}
	return true
}

// findPossibleHolder looks for another token that may have won. Members that
// were not heard, or that may have forgotten, count for it.
func (r *Round) findPossibleHolder() bool {
	for _, seen := range r.votes {
		if seen.Kind != VoteHeld {
			continue
		}
		mayHaveWon := r.allGroups(func(vote Vote, voted bool) bool {
			return !voted || vote.Kind == VoteAbstain || vote.Kind == VoteHeld && vote.Holder == seen.Holder
		})
		if mayHaveWon {
			r.holder = seen
			return true
		}
	}
	return false
}

// allGroups tells whether in every group a majority of the members satisfies
// the condition.
func (r *Round) allGroups(satisfies func(vote Vote, voted bool) bool) bool {
	for _, group := range r.groups {
		count := 0
		for _, member := range group {
			vote, voted := r.votes[member.Name]
			if satisfies(vote, voted) {
				count++
			}
		}
		if count < Majority(len(group)) {
			return false
		}
	}
	return len(r.groups) > 0
}

// Contended tells whether any member reported another holder.
func (r *Round) Contended() bool {
	for _, vote := range r.votes {
		if vote.Kind == VoteHeld {
			return true
		}
	}
	return false
}
