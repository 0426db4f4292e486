package roster

import (
	"cmp"
	"time"

	"github.com/sliplift/sliplift/internal/meshnode/claim"
)

// Defaults of Rules.
const (
	DefaultSettle       = 2 * time.Second
	DefaultFirstWait    = 10 * time.Second
	DefaultJoinAfter    = 30 * time.Second
	DefaultReplaceAfter = 2 * time.Minute
	DefaultMaxMembers   = 512

	// maxFormer bounds the former lists.
	maxFormer = 2
	// refreshInterval is the least time between a change and one of addresses
	// only, so that many nodes that move at once cost few changes.
	refreshInterval = 10 * time.Second
)

// Rules says when the list changes. Zero values mean the defaults.
type Rules struct {
	// GroupSize, Window and MaxViewAge are those of package claim: Window is
	// claim.ViewsConfig.Window, and MaxViewAge is zero where a node acts on a
	// list however long ago it was confirmed.
	GroupSize  int
	Window     time.Duration
	MaxViewAge time.Duration
	// Settle is how long a member must be alive to be in the first list, or in
	// one that replaces a list without a majority.
	Settle time.Duration
	// FirstWait bounds how long the first list waits for members that are only
	// just alive.
	FirstWait time.Duration
	// JoinAfter is how long a member must be alive to be added.
	JoinAfter time.Duration
	// ReplaceAfter is how long a member must be gone to be removed.
	ReplaceAfter time.Duration
	// MaxMembers bounds the list, by which the size of a configuration entry is
	// bounded.
	MaxMembers int
}

func (r Rules) withDefaults() Rules {
	r.GroupSize = cmp.Or(r.GroupSize, claim.DefaultGroupSize)
	r.Window = cmp.Or(r.Window, claim.Config{Validity: claim.DefaultValidity, RoundTimeout: claim.DefaultRoundTimeout}.Retention()+r.MaxViewAge)
	r.Settle = cmp.Or(r.Settle, DefaultSettle)
	r.FirstWait = cmp.Or(r.FirstWait, DefaultFirstWait)
	r.JoinAfter = cmp.Or(r.JoinAfter, DefaultJoinAfter)
	r.ReplaceAfter = cmp.Or(r.ReplaceAfter, DefaultReplaceAfter)
	r.MaxMembers = cmp.Or(r.MaxMembers, DefaultMaxMembers)
	return r
}

// majority returns how many members of a list of that length can make a
// majority of a group.
func (r Rules) majority(members int) int {
	size := min(r.GroupSize, members)
	if size > 0 && size%2 == 0 {
		size--
	}
	return claim.Majority(size)
}
