package digest

import (
	"errors"
	"time"
)

// errFormat says that a digest was written by a build which this one does not know.
var errFormat = errors.New("digest: format of a later build")

// Timing says how old a digest may be. All of it follows from Fresh.
type Timing struct {
	// Fresh is the time within which what others write has to be known everywhere.
	Fresh time.Duration
}

// Shares of Fresh. A digest that is kept is at most as old as a watch of the table that
// nothing ends, the time between two proofs and the pauses of both views: 0.15 and 0.1 and
// some 0.1. A publisher that goes silent is replaced a little after that, and its followers
// have the changes since while some of Fresh is left; who has no proof by seven tenths reads
// the table itself.
const (
	proofShare    = 0.15
	watchShare    = 0.1
	takeOverShare = 0.45
	staleShare    = 0.7
	// spreadShare is over how much time the nodes begin to read a table themselves whose
	// digest is old: all at once would ask the store for seconds of changes each.
	spreadShare = 0.2
	// peekShare lets a node look at the proof several times while it waits for a digest.
	peekShare = 0.2
	// staggerShare separates the nodes that could take the publishing over.
	staggerShare = 0.05
)

func (t Timing) of(share float64) time.Duration { return time.Duration(share * float64(t.Fresh)) }

// proofEvery is the time between two proofs while nothing changes.
func (t Timing) proofEvery() time.Duration { return t.of(proofShare) }

// peekEvery is how often a node that needs a digest looks whether one is kept.
func (t Timing) peekEvery() time.Duration { return t.of(peekShare) }

// WatchWait is how long a watch of the table stays open: a table in which nothing changes
// makes no digest old.
func (t Timing) WatchWait() time.Duration { return t.of(watchShare) }

// takeOverAfter is by how much the node of a rank has to be ahead of the proof to take the
// publishing over.
func (t Timing) takeOverAfter(rank int) time.Duration { return t.of(takeOverShare) + t.stagger(rank) }

// stagger is after how long the node of a rank begins a digest that nobody has kept yet.
func (t Timing) stagger(rank int) time.Duration { return time.Duration(rank) * t.of(staggerShare) }

// staleAfter is the age from which on a follower reads the table itself; at stands for the
// node's place in the spread, from 0 to 1.
func (t Timing) staleAfter(at float64) time.Duration {
	return t.of(staleShare) + time.Duration(at*float64(t.of(spreadShare)))
}

// readMost bounds the reading of the digest by a node that has taken the publishing over, which
// nobody takes over from it meanwhile.
func (t Timing) readMost() time.Duration { return t.Fresh }

// usableMost is the age up to which a digest is begun to be followed.
func (t Timing) usableMost() time.Duration { return t.of(takeOverShare) }
