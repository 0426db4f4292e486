package storerelay

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// Config configures a Detour.
type Config struct {
	// Store is this node's own way to the store. It bounds the time of its calls.
	Store rowstore.Store
	Dial  DialFunc
	Zone  string
	// Region is the node's own, empty where regions are not told apart; HoldsBodies tells
	// whether rows of a table must not be seen in regions other than those of the call, see
	// rowstore.Within. It may be nil: no table's are.
	Region      string
	HoldsBodies func(table string) bool
	Log         *eventlog.Log
	// ReadsPerSecond is what the store takes from all nodes together, 0 if there is no
	// bound.
	ReadsPerSecond float64
}

const (
	// silentAfter is how long a call waits, beyond what it may rightly take, until the
	// store is suspected of not answering this node.
	silentAfter = 500 * time.Millisecond
	// quietLeast is how long nothing may have been answered for another node to be
	// asked: a store that is slow or busy still answers now and then.
	quietLeast clock.Millis = 250
	// quietTurns is how many times longer than its turn takes a node has to be without
	// an answer: where hundreds of nodes share what the store takes, each has an answer
	// rarely while all ask, and calls through others only add to that.
	quietTurns = 8
	// worksWithin is the age of the last answer up to which calls of others are made.
	worksWithin clock.Millis = 1000
	// tryLeast and tryMost bound the pause after other nodes were asked in vain; it
	// doubles each time.
	tryLeast clock.Millis = 500
	tryMost  clock.Millis = 4000
	// triedNodes is how many other nodes are asked at a time.
	triedNodes = 3
	// probeEvery is the time between two direct reads while the node is away, probeMost
	// how long each may take, and probesGood how many answers in a row end it.
	probeEvery = 300 * time.Millisecond
	probeMost  = 250 * time.Millisecond
	probesGood = 2
	// refusalsMost is how many refusals in a row another node may give.
	refusalsMost = 2
	// probeTable is the table that probes read; it need not exist.
	probeTable = "probe"
)

// errTurned is why a call is ended when the node begins to go through another.
var errTurned = errors.New("calls go through another node from now on")

// Detour is a rowstore.Store that goes through another node while the store does not
// answer this one. It is safe for concurrent use.
type Detour struct {
	config Config

	mu    sync.Mutex
	peers func() []presence.Node
	// onTold takes what other nodes tell this one; it may be nil.
	onTold func(message json.RawMessage)
	// answered is when the store last answered this node directly.
	answered clock.Millis
	calls    map[*context.CancelCauseFunc]struct{}
	// via is the other node, nil while the node goes its own way.
	via     *client
	viaNode presence.Node
	// aside are the other nodes that calls go through which the regions of viaNode must
	// not see, by name; withheld are the regions for which there was none.
	aside    map[string]*client
	withheld map[place.Regions]bool
	refusals int
	// trying tells that other nodes are being asked; tryAgain, when they may be asked
	// again, and tryPause the pause after the next failure.
	trying   bool
	tryAgain clock.Millis
	tryPause clock.Millis
}

// New returns a Detour that goes its own way until SetPeers is called.
func New(config Config) *Detour {
	return &Detour{config: config, calls: make(map[*context.CancelCauseFunc]struct{}), tryPause: tryLeast, answered: clock.Now()}
}

// SetPeers gives the function that returns the other nodes.
func (d *Detour) SetPeers(peers func() []presence.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = peers
}

// Away returns the node that calls go through, empty while none.
func (d *Detour) Away() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.viaNode.Name
}

// works tells whether this node's own way to the store works.
func (d *Detour) works() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.via == nil && clock.Now()-d.answered < worksWithin
}

// Commit implements rowstore.Store.
func (d *Detour) Commit(ctx context.Context, transaction rowstore.Transaction) (int64, error) {
	asked := request{Operation: opCommit, Transaction: &transaction}
	if !d.showsBodies(transaction) {
		return d.commit(ctx, asked, place.Regions{})
	}
	return d.commit(ctx, asked, d.regionsOf(ctx))
}

// List implements rowstore.Store.
func (d *Detour) List(ctx context.Context, table, partition, from, to string, limit int) (rowstore.Snapshot, error) {
	asked := request{Operation: opList, Table: table, Partition: partition, From: from, To: to, Limit: limit}
	got := d.call(ctx, asked, d.regionsFor(ctx, table))
	return got.snapshot(), got.err()
}

// Watch implements rowstore.Store.
func (d *Detour) Watch(ctx context.Context, table string, after int64, wait time.Duration) (rowstore.Snapshot, error) {
	asked := request{Operation: opWatch, Table: table, After: after, WaitMillis: wait.Milliseconds()}
	got := d.call(ctx, asked, d.regionsFor(ctx, table))
	return got.snapshot(), got.err()
}

// call makes a call by the way that is in use, or by one in the regions, if that is in
// none of them.
func (d *Detour) call(ctx context.Context, asked request, regions place.Regions) answer {
	d.mu.Lock()
	via, node := d.via, d.viaNode
	d.mu.Unlock()
	if via == nil {
		return d.makeCall(ctx, asked)
	}
	if !regions.Has(node.Region) {
		return d.callWithin(ctx, asked, regions)
	}
	got, err := via.call(ctx, asked)
	if err != nil {
		if ctx.Err() == nil {
			d.leave(via, err.Error())
		}
		return answerOf(err)
	}
	d.noteRelayed(via, got)
	return got
}

// noteRelayed counts the refusals of the node that calls go through: it may have been
// turned away as well.
func (d *Detour) noteRelayed(via *client, got answer) {
	d.mu.Lock()
	if got.Outcome != outcomeRefused {
		d.refusals = 0
		d.mu.Unlock()
		return
	}
	d.refusals++
	many := d.refusals >= refusalsMost
	d.mu.Unlock()
	if many {
		d.leave(via, got.Cause)
	}
}

// direct makes a call by the node's own way, which may rightly take wait.
func (d *Detour) direct(ctx context.Context, wait time.Duration, do func(context.Context) error) error {
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.mu.Lock()
	d.calls[&cancel] = struct{}{}
	d.mu.Unlock()
	silence := time.AfterFunc(wait+silentAfter, d.suspect)
	err := do(rowstore.WithProgress(bounded, d.noteAnswered))
	silence.Stop()
	d.mu.Lock()
	delete(d.calls, &cancel)
	d.mu.Unlock()
	if rowstore.Answered(err) {
		d.noteAnswered()
	}
	if !rowstore.Answered(err) && ctx.Err() == nil {
		d.suspect()
	}
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(bounded), errTurned) {
		return fmt.Errorf("%w: %w", rowstore.ErrUnknown, errTurned)
	}
	return err
}

// noteAnswered notes that the store answers this node directly.
func (d *Detour) noteAnswered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered = clock.Now()
}

// suspect asks other nodes whether they reach the store, if this one does not.
func (d *Detour) suspect() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	if d.peers == nil || d.via != nil || d.trying || now < d.tryAgain || now-d.answered < quietTime(len(d.peers())+1, d.config.ReadsPerSecond) {
		return
	}
	d.trying = true
	go d.try()
}

// quietTime returns how long nothing may have been answered, of so many nodes, for
// another one to be asked. It is pure.
func quietTime(nodes int, readsPerSecond float64) clock.Millis {
	if readsPerSecond <= 0 {
		return quietLeast
	}
	const millisPerSecond = 1000
	return max(quietLeast, clock.Millis(quietTurns*float64(nodes)/readsPerSecond*millisPerSecond))
}

// try looks for another node that reaches the store and begins to go through it.
func (d *Detour) try() {
	if d.probeDirect() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.trying, d.answered = false, clock.Now()
		return
	}
	d.mu.Lock()
	peers := d.peers
	quietSince := d.answered
	d.mu.Unlock()
	for _, peer := range candidates(peers(), d.own()) {
		found := &client{address: peer.PeerAddress, dial: d.config.Dial}
		if !d.reaches(found) {
			found.close()
			continue
		}
		if d.turn(found, peer, quietSince) {
			d.probe(found)
		}
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trying = false
	d.tryAgain = clock.Now() + d.tryPause
	d.tryPause = min(2*d.tryPause, tryMost)
}

// candidates returns the nodes to ask: those of the own zone first, then those of the own
// region, of these the largest, equal ones by chance.
func candidates(peers []presence.Node, own place.Place) []presence.Node {
	peers = slices.DeleteFunc(slices.Clone(peers), func(n presence.Node) bool { return n.PeerAddress == "" })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b presence.Node) int {
		return cmp.Or(cmp.Compare(place.DefaultDistance(own, a.Place()), place.DefaultDistance(own, b.Place())), cmp.Compare(b.Cores, a.Cores))
	})
	return peers[:min(len(peers), triedNodes)]
}

// reaches tells whether the store answers through another node.
func (d *Detour) reaches(via *client) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeMost+dialMost)
	defer cancel()
	got, err := via.call(ctx, request{Operation: opList, Table: probeTable, Limit: 1})
	return err == nil && got.Outcome == outcomeOK
}

// turn begins to go through another node, unless the store has answered meanwhile.
func (d *Detour) turn(via *client, node presence.Node, quietSince clock.Millis) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trying = false
	if d.answered != quietSince {
		via.close()
		return false
	}
	d.via, d.viaNode, d.refusals, d.tryPause = via, node, 0, tryLeast
	for cancel := range d.calls {
		(*cancel)(errTurned)
	}
	d.config.Log.Warn(eventlog.StoreDetour, eventlog.Fields{"via": node.Name, "quiet_ms": int64(clock.Now() - quietSince), "calls_ended": len(d.calls)})
	return true
}

// leave ends the way through another node.
func (d *Detour) leave(via *client, cause string) {
	d.mu.Lock()
	if d.via != via {
		d.mu.Unlock()
		return
	}
	d.config.Log.Info(eventlog.StoreDirect, eventlog.Fields{"via": d.viaNode.Name, eventlog.Cause: cause})
	d.via, d.viaNode = nil, presence.Node{}
	aside := d.aside
	d.aside, d.withheld = nil, nil
	d.mu.Unlock()
	via.close()
	for _, other := range aside {
		other.close()
	}
	d.suspect()
}

// probe reads directly while the node goes through another, until the store answers
// this node again.
func (d *Detour) probe(via *client) {
	for good := 0; good < probesGood; {
		time.Sleep(probeEvery)
		d.mu.Lock()
		current := d.via == via
		d.mu.Unlock()
		if !current {
			return
		}
		if !d.probeDirect() {
			good = 0
			continue
		}
		good++
	}
	d.noteAnswered()
	d.leave(via, "the store answers this node again")
}

// probeDirect tells whether the store answers a small read of this node's own.
func (d *Detour) probeDirect() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeMost)
	defer cancel()
	_, err := d.config.Store.List(ctx, probeTable, "", "", "", 1)
	return rowstore.Answered(err)
}
