// Package presence tells which nodes there are: each keeps a row in the store
// and writes it again every beat; all read the rows through a view.
//
// A node is lapsed when its row has not changed for two beats, and for lapseLeast at
// the least, by the reader's own clock while the reader saw its own beats come back
// through its view, and those of others go on: while the store takes no writes or gives
// no answers, nobody is declared lapsed, and when it does again every node gets that time
// whole. Beats become rarer as nodes grow, and fewer of them may be missed then: a beat
// that fails is tried again before the next one is due. Incarnations of one node name are
// ordered; a process whose name has a newer incarnation is gone at once.
package presence

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// Table is the table of the rows, partitioned by rowstore.Shard of the name.
const Table = "nodes"

// State is what a node says of itself.
type State string

// The states of a node.
const (
	Ready    State = "ready"
	Stopping State = "stopping"
)

// Node is a node's row.
type Node struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
	Address     string `json:"address"`
	// PeerAddress is where other nodes reach it, empty if they do not.
	PeerAddress string `json:"peer_address,omitempty"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	State       State  `json:"state"`
	Beat        int64  `json:"beat"`
	// Cores is the processor time that the node has in a second, in seconds; 0 is
	// not known.
	Cores float64 `json:"cores,omitempty"`
	// PlannedStarts counts the starts that followed a planned stop. While nodes
	// are restarted one after the other, those that have been are ahead.
	PlannedStarts int64 `json:"planned_starts,omitempty"`
	// Nodes is how many rows of nodes it knew when it wrote this one.
	Nodes int `json:"nodes,omitempty"`
}

const (
	// beatLeast is the time between two writes of a node's row; it is more where
	// all nodes together would write too often for the store.
	beatLeast = 600 * time.Millisecond
	// lapseLeast is the least silence after which a node is lapsed. Processes that wait
	// for the processor, and a write that hangs, keep a node silent for as long.
	lapseLeast = 2100 * time.Millisecond
	// lapseBeats is the silence in beats where those are rare: one that failed, the next
	// one still to come.
	lapseBeats = 2
	// beatLimit bounds the writing of one beat: the store answers in 4 ms, in 200 ms where
	// it is slow.
	beatLimit = 800 * time.Millisecond
	// retryShare is how long a beat that failed is tried again after, as a share of the
	// time between two.
	retryShare = 0.25
	// unprovenBeats is the silence, in beats from the second one of this process on,
	// after which a node is lapsed that has not beaten since the process began:
	// nothing but an old row speaks for it.
	unprovenBeats = 0.9
	// unprovenRest bounds the pause after a failure of the view: without the other nodes,
	// nobody goes on with the work of those that are gone.
	unprovenRest = 800 * time.Millisecond
	// forgetBeats is after how many beats a lapsed row is removed.
	forgetBeats = 60
)

type seen struct {
	node     Node
	revision int64
	at       time.Time
	lapsed   bool
	// proven tells that the row was written since this process began: rows of nodes
	// that went away before are still there when all nodes start anew.
	proven bool
	// stalled is what Registry.stalled was when the row was seen to change.
	stalled time.Duration
}

// Registry keeps this node's row and the view of all. It is safe for
// concurrent use.
type Registry struct {
	store  rowstore.Store
	pacing rowstore.Pacing
	view   *rowstore.View
	log    *eventlog.Log

	mu    sync.Mutex
	self  Node
	nodes map[string]*seen
	// ordered holds the same rows, ordered by name.
	ordered []*seen
	// members are the live nodes as of counted; moved tells that a row has changed them
	// since.
	members *Members
	counted time.Time
	moved   bool
	kick    chan struct{}
	// began is the store's revision when this process began.
	began int64
	// echoed is when the node last saw a beat of its own in the view; echoSince,
	// since when it has seen them without a gap.
	echoed, echoSince time.Time
	// heard is when the view last brought a beat of any node; stalled, for how long in all
	// it brought none though some were due: then the store held all of them up.
	heard   time.Time
	stalled time.Duration
}

// byName compares a row's name with another name.
func byName(held *seen, name string) int { return strings.Compare(held.node.Name, name) }

// New returns a registry for the node itself, whose process began at a revision of
// the store.
func New(log *eventlog.Log, store rowstore.Store, self Node, began int64, pacing rowstore.Pacing) *Registry {
	registry := &Registry{
		store: store, pacing: pacing, log: log, self: self, began: began,
		nodes: make(map[string]*seen), kick: make(chan struct{}, 1),
	}
	registry.view = rowstore.NewView(log, store, rowstore.ViewConfig{
		Name:       "nodes",
		Table:      Table,
		Partitions: rowstore.AllShards(),
		Wait:       pacing.IdleWait,
		Rest:       func() time.Duration { return min(pacing.IdleRest(), unprovenRest) },
		Pace:       func() time.Duration { return max(beatLeast/4, pacing.BusyPace()) },
		Apply:      registry.apply,
	})
	return registry
}

// View returns the view of the rows.
func (r *Registry) View() *rowstore.View { return r.view }

func (r *Registry) apply(rows []rowstore.Row, complete bool) {
	// The pace depends on the number of nodes, which asks for the lock.
	pace := r.pacing.BusyPace()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	first := complete && len(r.nodes) == 0
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
		r.applyRow(row, now, pace, !first)
	}
	if first {
		r.log.Info(eventlog.NodesRead, eventlog.Fields{eventlog.Count: len(r.nodes)})
	}
	if !complete {
		return
	}
	for name := range r.nodes {
		if !present[name] {
			r.drop(name)
		}
	}
}

// applyRow takes a row; tell says whether a new node is worth a line of its own.
// The lock is held.
func (r *Registry) applyRow(row rowstore.Row, now time.Time, pace time.Duration, tell bool) {
	held := r.nodes[row.Key]
	if row.Deleted {
		if held != nil && row.Revision >= held.revision {
			r.drop(row.Key)
		}
		return
	}
	var node Node
	if err := json.Unmarshal(row.Value, &node); err != nil || node.Name != row.Key {
		r.log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: Table, eventlog.Key: row.Key, eventlog.Cause: unreadable(err)})
		return
	}
	if held == nil {
		held = &seen{node: node, revision: row.Revision, at: now, proven: row.Revision > r.began, stalled: r.stalled}
		r.nodes[row.Key] = held
		r.enlist(held)
		r.moved = true
		if tell {
			r.log.Info(eventlog.NodeSeen, eventlog.Fields{eventlog.Node: node.Name, "incarnation": node.Incarnation, "state": node.State})
		}
		return
	}
	if row.Revision <= held.revision {
		return
	}
	r.noteHeard(now, pace)
	if node.Name == r.self.Name {
		r.noteEcho(now)
	}
	r.moved = r.moved || held.lapsed || !sameMember(held.node, node)
	held.node, held.revision, held.at, held.lapsed, held.proven = node, row.Revision, now, false, true
	held.stalled = r.stalled
}

// unreadable returns why a row is not a node's.
func unreadable(err error) string {
	if err != nil {
		return err.Error()
	}
	return "name is not the row's key"
}

// beat returns the time between two writes of the row in a system of a size.
func (r *Registry) beat(nodes int) time.Duration { return max(beatLeast, r.pacing.BeatInterval(nodes)) }

// lapse returns the silence after which a node counts as lapsed.
func (r *Registry) lapse(nodes int) time.Duration { return max(lapseLeast, lapseBeats*r.beat(nodes)) }

// Run keeps the row written until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started, beat := time.Now(), r.beat(r.Size())
		again := time.Duration(retryShare * float64(beat))
		if r.write(ctx) != nil {
			pause.For(ctx, again)
			if !r.cameBack(started) {
				// One that is lost again is made good by the next beat.
				_ = r.write(ctx)
			}
		}
		r.forget(ctx)
		timer := time.NewTimer(max(time.Until(started.Add(beat)), again))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.kick:
		}
		timer.Stop()
	}
}

// cameBack tells whether a beat of this node's own came back since a time: the store took
// it and was slow to say so. Writing it again would double the beats of all nodes just
// while the store is slow.
func (r *Registry) cameBack(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.echoed.Before(since)
}

// Size returns the number of nodes that have a row.
func (r *Registry) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.nodes)
}

// write writes a beat.
func (r *Registry) write(ctx context.Context) error {
	r.mu.Lock()
	r.self.Beat++
	r.self.Nodes = len(r.nodes)
	value, err := json.Marshal(r.self)
	name := r.self.Name
	r.mu.Unlock()
	if err != nil {
		panic("presence: a node's row cannot be encoded: " + err.Error())
	}
	id := rowstore.RowID{Table: Table, Partition: rowstore.Shard(name), Key: name}
	bounded, cancel := context.WithTimeout(ctx, beatLimit)
	defer cancel()
	_, err = r.store.Commit(bounded, rowstore.Transaction{Puts: []rowstore.Row{{RowID: id, Value: value}}})
	return err
}

// forget removes one row that has lapsed long ago.
func (r *Registry) forget(ctx context.Context) {
	now := time.Now()
	r.mu.Lock()
	var gone *seen
	status, most := r.view.Status(), forgetBeats*r.beat(len(r.nodes))
	for _, held := range r.ordered {
		if held.node.Name != r.self.Name && r.quiet(held, status, now) > most {
			gone = held
			break
		}
	}
	var transaction rowstore.Transaction
	if gone != nil {
		id := rowstore.RowID{Table: Table, Partition: rowstore.Shard(gone.node.Name), Key: gone.node.Name}
		transaction.Conditions = []rowstore.Condition{{RowID: id, Revision: gone.revision}}
		transaction.Deletes = []rowstore.RowID{id}
	}
	r.mu.Unlock()
	if gone != nil {
		_, _ = r.store.Commit(ctx, transaction)
	}
}

// SetState changes what the node says of itself, at once.
func (r *Registry) SetState(state State) {
	r.mu.Lock()
	r.self.State, r.moved = state, true
	r.mu.Unlock()
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// Live returns the nodes that are ready and not lapsed, ordered by name. The
// node itself is among them unless it is stopping. The slice must not be changed.
func (r *Registry) Live(now time.Time) []Node { return r.Members(now).Nodes() }

// Proven returns those of the live nodes that are certain to have been there since
// this process began. The node itself is among them unless it is stopping.
func (r *Registry) Proven(now time.Time) []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := r.membersAt(now).Nodes()
	proven := make([]Node, 0, len(live))
	for _, n := range live {
		if held := r.nodes[n.Name]; n.Name == r.self.Name || held != nil && held.proven {
			proven = append(proven, n)
		}
	}
	return proven
}

// Self returns the node's own row.
func (r *Registry) Self() Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Last returns the row that an earlier process of a node left, the zero Node if
// there is none, and the store's revision.
func Last(ctx context.Context, store rowstore.Store, name string) (Node, int64, error) {
	snapshot, err := store.List(ctx, Table, rowstore.Shard(name), name, name+"\x00", 1)
	if err != nil {
		return Node{}, 0, err
	}
	for _, row := range snapshot.Rows {
		var node Node
		if row.Key == name && json.Unmarshal(row.Value, &node) == nil {
			return node, snapshot.Revision, nil
		}
	}
	return Node{}, snapshot.Revision, nil
}

// Succeed returns self as the successor of an earlier process of the same node:
// its incarnation is above the earlier one's, whatever the time of day.
func Succeed(self, last Node, now time.Time) Node {
	self.Incarnation = max(last.Incarnation+1, now.UnixMicro())
	self.PlannedStarts = last.PlannedStarts
	if last.State == Stopping {
		self.PlannedStarts++
	}
	self.State = Ready
	return self
}
