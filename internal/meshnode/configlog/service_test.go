package configlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/peer"
	"github.com/sliplift/sliplift/internal/steptest"
)

// TestService runs a cluster on one table in virtual time.
func TestService(t *testing.T) {
	datadriven.Walk(t, "testdata/service", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{
				ctx: t.Context(), table: newFakeTable(), nodes: map[string]*clusterNode{}, cut: map[string]bool{},
				applied: map[string][]int64{},
			}
			defer c.close()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return steptest.Run(t, d, c.run) })
		})
	})
}

const (
	clusterLatency   = time.Millisecond
	clusterHeartbeat = time.Second
)

var errUnreachable = errors.New("unreachable")

type cluster struct {
	ctx    context.Context
	table  *fakeTable
	faults Faults

	mu    sync.Mutex
	names []string
	nodes map[string]*clusterNode
	cut   map[string]bool
	// noPush loses all pushes.
	noPush bool
	// applied lists the revisions that each incarnation applied.
	applied map[string][]int64
}

type clusterNode struct {
	cluster  *cluster
	name     string
	handlers map[peer.Kind]peer.Handler
	service  *Service
	stop     context.CancelFunc
	running  sync.WaitGroup
}

func (c *cluster) run(t *testing.T, d *datadriven.TestData) string {
	var by, id, zone string
	var revision int64
	d.MaybeScanArgs(t, "by", &by)
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "drain", &zone)
	d.MaybeScanArgs(t, "revision", &revision)
	switch d.Cmd {
	case "start":
		c.faults.ApplyLowerRevisions = d.HasArg("apply-lower-revisions")
		c.start(arguments(d))
	case "kill":
		for _, name := range arguments(d) {
			c.kill(name)
		}
	case "network":
		c.setNetwork(arguments(d))
	case "table":
		c.table.mu.Lock()
		c.table.down = d.HasArg("down")
		c.table.mu.Unlock()
	case "forget-table": // an operator restored an old table
		_, _ = c.table.Service.Commit(c.ctx, api.Transaction{Deletes: c.table.keys()})
	case "submit":
		result := c.nodes[by].service.Submit(c.ctx, Change{ID: id, Author: by, Operation: drainZone(zone)})
		return fmt.Sprintf("%s at %d\n", result.Outcome, result.Revision)
	case "wait":
		duration, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		time.Sleep(duration)
		return c.show()
	case "in-force":
		report := c.nodes[by].service.InForce(c.ctx, revision)
		return fmt.Sprintf("everywhere: %t, confirmed: %v, missing: %v\n", report.Everywhere(), report.Confirmed, report.Missing)
	case "history":
		return c.judge()
	}
	return ""
}

// arguments returns the bare names among a command's arguments.
func arguments(d *datadriven.TestData) []string {
	var names []string
	for _, argument := range d.CmdArgs {
		if len(argument.Vals) == 0 {
			names = append(names, argument.Key)
		}
	}
	return names
}

// setNetwork cuts the named nodes off, and loses pushes if "no-push" is named.
func (c *cluster) setNetwork(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.cut)
	for _, name := range names {
		c.cut[name] = true
	}
	c.noPush = c.cut["no-push"]
}

func (c *cluster) start(names []string) {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	c.mu.Lock()
	for _, name := range names {
		if name != "apply-lower-revisions" && !slices.Contains(c.names, name) {
			c.names = append(c.names, name)
		}
	}
	c.mu.Unlock()
	for _, name := range names {
		if name == "apply-lower-revisions" {
			continue
		}
		node := &clusterNode{cluster: c, name: name, handlers: map[peer.Kind]peer.Handler{}}
		ctx, cancel := context.WithCancel(c.ctx)
		node.stop = cancel
		node.service = NewService(lg, Config{
			Node: name, Address: name, Table: c.table, Peers: node, Registry: node, Members: node, Sink: node, Faults: c.faults,
		})
		c.mu.Lock()
		c.nodes[name] = node
		c.applied[name] = nil
		c.mu.Unlock()
		node.running.Go(func() { node.service.Run(ctx) })
		node.running.Go(func() { node.heartbeat(ctx) })
	}
}

func (c *cluster) kill(name string) {
	c.mu.Lock()
	node := c.nodes[name]
	delete(c.nodes, name)
	c.mu.Unlock()
	node.stop()
	node.running.Wait()
}

func (c *cluster) close() {
	for _, name := range c.names {
		if c.nodes[name] != nil {
			c.kill(name)
		}
	}
	time.Sleep(time.Minute) // messages on their way arrive
}

// show tells each node's revision; nodes in the same state are named together.
func (c *cluster) show() string {
	var states []string
	names := map[string][]string{}
	for _, name := range c.names {
		state := "dead"
		if node := c.nodes[name]; node != nil {
			state = fmt.Sprintf("revision %d, ready: %t", node.service.Current().Revision, node.service.Ready())
		}
		if names[state] == nil {
			states = append(states, state)
		}
		names[state] = append(names[state], name)
	}
	for i, state := range states {
		states[i] = strings.Join(names[state], " ") + ": " + state
	}
	return strings.Join(states, "; ") + "\n"
}

// judge tells whether an incarnation went back to a lower revision.
func (c *cluster) judge() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range c.names {
		if !slices.IsSorted(c.applied[name]) {
			return "a node went back\n"
		}
	}
	return "no node went back\n"
}

// heartbeat tells the node the revisions of the others.
func (n *clusterNode) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		for _, member := range n.Known() {
			if other := n.reach(member.Name); other != nil && other != n {
				n.service.OnPeerRevision(member.Name, member.Address, other.service.Current().Revision)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(clusterHeartbeat):
		}
	}
}

// reach returns the node of that name if messages get there.
func (n *clusterNode) reach(name string) *clusterNode {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.cluster.cut[n.name] || n.cluster.cut[name] {
		return nil
	}
	return n.cluster.nodes[name]
}

func (n *clusterNode) Known() []Member {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	members := make([]Member, 0, len(n.cluster.names))
	for _, name := range n.cluster.names {
		members = append(members, Member{Name: name, Address: name})
	}
	return members
}

func (n *clusterNode) Alive() []Member {
	return slices.DeleteFunc(n.Known(), func(m Member) bool { return m.Name != n.name && n.reach(m.Name) == nil })
}

func (n *clusterNode) Record(event history.Event) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.applied[n.name] = append(n.cluster.applied[n.name], event.Revision)
}

func (n *clusterNode) Handle(kind peer.Kind, handler peer.Handler) { n.handlers[kind] = handler }

func (n *clusterNode) Send(address string, kind peer.Kind, body any) {
	n.cluster.mu.Lock()
	lost := kind == KindPush && n.cluster.noPush
	n.cluster.mu.Unlock()
	if lost {
		return
	}
	content, _ := json.Marshal(body)
	go func() {
		time.Sleep(clusterLatency)
		if other := n.reach(address); other != nil {
			_, _ = other.handlers[kind](n.cluster.ctx, n.name, content)
		}
	}()
}

func (n *clusterNode) Call(ctx context.Context, address string, kind peer.Kind, body, response any) error {
	content, _ := json.Marshal(body)
	time.Sleep(clusterLatency)
	other := n.reach(address)
	if other == nil {
		<-ctx.Done()
		return errUnreachable
	}
	answer, err := other.handlers[kind](ctx, n.name, content)
	if err != nil {
		return err
	}
	time.Sleep(clusterLatency)
	content, _ = json.Marshal(answer)
	return json.Unmarshal(content, response)
}
