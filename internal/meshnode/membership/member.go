package membership

import (
	"slices"
	"strings"
	"time"
)

// State is what a node believes of a member.
type State string

const (
	// StateAlive members answer, or nothing says otherwise.
	StateAlive State = "alive"
	// StateSuspect members did not answer at least one observer.
	StateSuspect State = "suspect"
	// StateUnreachable members are alive or suspect and belong to a region from
	// which nobody outside hears anything. They may well be at work. It is each
	// node's own reading and is never sent.
	StateUnreachable State = "unreachable"
	// StateDead members were suspected by independent observers and did not
	// refute it in time.
	StateDead State = "dead"
	// StateLeft members announced their planned stop.
	StateLeft State = "left"
)

// rank orders states of equal incarnation and refutation: the higher one wins.
func (s State) rank() int {
	switch s {
	case StateSuspect, StateUnreachable:
		return 1
	case StateDead:
		return 2
	case StateLeft:
		return 3
	default:
		return 0
	}
}

// gone tells whether the state ends a membership.
func (s State) gone() bool { return s == StateDead || s == StateLeft }

// Identity is what a member says of itself; it is constant for an incarnation.
type Identity struct {
	Name string `json:"name"`
	// Incarnation grows with every start of the node's process.
	Incarnation     int64  `json:"incarnation"`
	PeerAddress     string `json:"peer_address"`
	CallerAddress   string `json:"caller_address,omitempty"`
	OperatorAddress string `json:"operator_address,omitempty"`
	Zone            string `json:"zone"`
	Region          string `json:"region,omitempty"`
	Site            string `json:"site,omitempty"`
}

// Member is one node as another one sees it.
type Member struct {
	Identity
	State State
	// Since is when this node learned of State.
	Since time.Time
	// Source names the node from which State was learned; this node itself for
	// its own observations.
	Source string
	// HeardAt is when a message of the member itself last came in; zero if none
	// ever did. A node hears any one member seldom when there are many.
	HeardAt time.Time
	// Observers names the nodes that got no answer, for suspect members.
	Observers []string
	// Digest is the value that the member last attached to a heartbeat.
	Digest int64
}

// Snapshot is a node's view of all members, itself included. It is never
// changed; readers may share it.
type Snapshot struct {
	// At is when the view was taken. Version grows with every change of a state.
	At      time.Time
	Version uint64
	Self    string
	// Members is sorted by name.
	Members []Member
	// Regions is sorted by name.
	Regions []Region
	// Unheard names seeds that were never heard from, sorted.
	Unheard []string
	// SupersededBy is the incarnation of a later process of this node's name, or
	// zero. A superseded process should stop.
	SupersededBy int64
}

// Region sums up a region's members.
type Region struct {
	Name                                    string
	Alive, Suspect, Unreachable, Dead, Left int
	// Unreached says that nobody outside hears the region: a cut, or the loss of
	// all of it. UnreachedSince is when this node concluded it.
	Unreached      bool
	UnreachedSince time.Time
	// HeardAt is when any member of the region was last heard, as far as this
	// node knows, and HeardBy the node that heard it.
	HeardAt time.Time
	HeardBy string
}

// Find returns the member of that name.
func (s *Snapshot) Find(name string) (Member, bool) {
	i, found := slices.BinarySearchFunc(s.Members, name, func(m Member, name string) int {
		return strings.Compare(m.Name, name)
	})
	if !found {
		return Member{}, false
	}
	return s.Members[i], true
}

// Alive returns the members in StateAlive, this node included, sorted by name.
func (s *Snapshot) Alive() []Member {
	alive := make([]Member, 0, len(s.Members))
	for _, member := range s.Members {
		if member.State == StateAlive {
			alive = append(alive, member)
		}
	}
	return alive
}
