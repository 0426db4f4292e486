package lease

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	emulated "github.com/sliplift/sliplift/internal/emulator/table"
	"github.com/sliplift/sliplift/internal/steptest"
)

// TestService runs several nodes on one table in virtual time, with leases of
// 6s, a settle time of 30s and one move per node in 10s.
func TestService(t *testing.T) {
	datadriven.Walk(t, "testdata/service", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t.Context())
			defer cluster.close()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return steptest.Run(t, d, cluster.run) })
		})
	})
}

type cluster struct {
	ctx     context.Context
	table   *countedTable
	shards  []Shard
	members *fakeMembers
	nodes   map[string]*node
	// heard is each shard's highest epoch that acted.
	heard map[string]int64
}

type node struct {
	service *Service
	stop    context.CancelFunc
	stopped chan struct{}
}

func newCluster(ctx context.Context) *cluster {
	return &cluster{
		ctx: ctx, table: newCountedTable(), members: &fakeMembers{},
		nodes: map[string]*node{}, heard: map[string]int64{},
	}
}

func (c *cluster) close() {
	for name := range c.nodes {
		c.kill(name)
	}
}

func (c *cluster) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "shards": // name@zone
		for _, argument := range d.CmdArgs {
			name, zone, _ := strings.Cut(argument.Key, "@")
			c.shards = append(c.shards, Shard{Name: name, Zone: zone})
		}
	case "start": // name@zone; all are members before the first one runs
		var started []Member
		for _, argument := range d.CmdArgs {
			name, zone, _ := strings.Cut(argument.Key, "@")
			started = append(started, Member{Name: name, Zone: zone})
		}
		c.startAll(started)
	case "many": // shards and nodes over zones
		var nodes, shards, zones int
		d.ScanArgs(t, "nodes", &nodes)
		d.ScanArgs(t, "shards", &shards)
		d.ScanArgs(t, "zones", &zones)
		for i := range shards {
			c.shards = append(c.shards, Shard{Name: fmt.Sprintf("s%d", i), Zone: fmt.Sprintf("z%d", i%zones)})
		}
		var started []Member
		for i := range nodes {
			started = append(started, Member{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i%zones)})
		}
		c.startAll(started)
	case "count":
		return c.count(t, d)
	case "kill":
		c.kill(d.CmdArgs[0].Key)
	case "heard": // the membership notices what became of the nodes
		c.members.set(slices.DeleteFunc(c.members.Alive(), func(m Member) bool { return c.nodes[m.Name] == nil }))
	case "stop":
		name := d.CmdArgs[0].Key
		begin := time.Now()
		ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
		defer cancel()
		err := c.nodes[name].service.HandOver(ctx)
		took := time.Since(begin)
		c.kill(name)
		return fmt.Sprintf("within a second: %t, error: %v\n", took < time.Second, err)
	case "table":
		switch count := 0; {
		case d.HasArg("down"):
			c.table.strike(fault.KindDown, 0)
		case d.HasArg("lose-answers"):
			d.ScanArgs(t, "lose-answers", &count)
			c.table.strike(fault.KindLostAnswer, count)
		default:
			c.table.strike("", 0)
		}
	case "wait":
		duration, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		before := c.table.operations.Load()
		c.watch(t, duration)
		rate := float64(c.table.operations.Load()-before) / duration.Seconds()
		if d.HasArg("rate") {
			return fmt.Sprintf("%.1f operations/s; ", rate) + c.show()
		}
		return c.show()
	}
	return ""
}

// count lets time pass and tells how many shards are held once, and whether the
// operations on the table stay within a rate.
func (c *cluster) count(t *testing.T, d *datadriven.TestData) string {
	duration, err := time.ParseDuration(d.CmdArgs[0].Key)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	before := c.table.operations.Load()
	time.Sleep(duration)
	rate := float64(c.table.operations.Load()-before) / duration.Seconds()
	held := 0
	for _, shard := range c.shards {
		if len(c.holders(shard.Name)) == 1 {
			held++
		}
	}
	var limit float64
	d.ScanArgs(t, "at-most", &limit)
	t.Logf("%.1f operations/s", rate)
	return fmt.Sprintf("%d of %d shards held, at most %v operations/s: %t\n", held, len(c.shards), limit, rate <= limit)
}

func (c *cluster) startAll(started []Member) {
	c.members.set(append(c.members.Alive(), started...))
	for _, member := range started {
		c.start(member)
	}
}

func (c *cluster) start(member Member) {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	service := NewService(lg, Config{Node: member.Name, Table: c.table, Members: c.members})
	service.SetShards(c.shards)
	ctx, cancel := context.WithCancel(c.ctx)
	started := &node{service: service, stop: cancel, stopped: make(chan struct{})}
	c.nodes[member.Name] = started
	go func() {
		defer close(started.stopped)
		service.Run(ctx)
	}()
}

func (c *cluster) kill(name string) {
	c.nodes[name].stop()
	<-c.nodes[name].stopped
	delete(c.nodes, name)
}

// watch lets time pass and looks every 50 ms for two holders of a shard.
func (c *cluster) watch(t *testing.T, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, shard := range c.shards {
			holders := c.holders(shard.Name)
			if len(holders) > 1 {
				t.Errorf("%s is held by %v", shard.Name, holders)
			}
		}
	}
}

func (c *cluster) holders(shard string) []string {
	var holders []string
	for name, node := range c.nodes {
		if epoch, ok := node.service.Held(shard); ok {
			holders = append(holders, fmt.Sprintf("%s epoch %d", name, epoch))
		}
	}
	return holders
}

func (c *cluster) show() string {
	var shown []string
	for _, shard := range c.shards {
		shown = append(shown, shard.Name+": "+strings.Join(c.holders(shard.Name), ", "))
	}
	return strings.Join(shown, "; ") + "\n"
}

type fakeMembers struct {
	mu    sync.Mutex
	alive []Member
}

func (f *fakeMembers) Alive() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.alive)
}

func (f *fakeMembers) set(alive []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alive = alive
}

// countedTable is the emulated table. It counts the operations, and tells its
// revision only if asked to: the epochs of the stories then count holders and do
// not depend on how many writes came between.
type countedTable struct {
	*emulated.Service
	faults        *fault.Set
	operations    atomic.Int64
	tellsRevision bool
}

func newCountedTable() *countedTable {
	faults := fault.NewSet(1)
	return &countedTable{Service: emulated.NewService(emulated.Config{Name: "table"}, faults), faults: faults}
}

// strike replaces the table's faults by one that strikes count times, or by none.
func (c *countedTable) strike(kind fault.Kind, count int) {
	for _, standing := range c.faults.List() {
		c.faults.Remove(standing.ID)
	}
	if kind != "" {
		_, _ = c.faults.Add(fault.Fault{Target: "table", Kind: kind, Count: count})
	}
}

func (c *countedTable) Commit(ctx context.Context, t api.Transaction) (api.TransactionResponse, error) {
	c.operations.Add(1)
	return c.Service.Commit(ctx, t)
}

func (c *countedTable) Scan(ctx context.Context, prefix, after string, limit int) (api.ScanResponse, error) {
	c.operations.Add(1)
	response, err := c.Service.Scan(ctx, prefix, after, limit)
	if !c.tellsRevision {
		response.Revision = 0
	}
	return response, err
}

// TestLaterLeaseHasTheHigherEpoch covers a back end that moves from a shard
// with many holders to one that is new.
func TestLaterLeaseHasTheHigherEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newCountedTable()
		table.tellsRevision = true
		for range 41 {
			_, _ = table.Commit(t.Context(), api.Transaction{Puts: []api.Put{{Key: "other"}}})
		}
		machine := NewMachine("titles/0", "a", NewTiming(DefaultDuration), Faults{})
		service := NewService(logrus.New(), Config{Node: "a", Table: table, Members: &fakeMembers{alive: []Member{{Name: "a"}}}})
		service.SetShards([]Shard{{Name: "titles/0"}})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { service.Run(ctx) })
		time.Sleep(DefaultDuration)
		epoch, held := service.Held("titles/0")
		if !held || epoch < 41 {
			t.Errorf("held %v with epoch %d; the table was at revision 41", held, epoch)
		}
		if machine.record(ActionAcquire, Want{}, "nonce").Epoch != 1 {
			t.Error("without a table revision the first epoch is not 1")
		}
		cancel()
		running.Wait()
	})
}
