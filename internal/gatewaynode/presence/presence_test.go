package presence

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

type member struct {
	registry *Registry
	stop     func()
}

func join(store rowstore.Store, node Node) member {
	return joinPaced(store, node, rowstore.Pacing{Fresh: 2 * time.Second, Nodes: func() int { return 2 }})
}

// joinPaced starts a node that asks the store as often as pacing says; without a number
// of nodes, by those that it knows.
func joinPaced(store rowstore.Store, node Node, pacing rowstore.Pacing) member {
	log := eventlog.New(logrus.New(), io.Discard)
	_, began, err := Last(context.Background(), store, node.Name)
	if err != nil {
		panic(err)
	}
	var registry *Registry
	if pacing.Nodes == nil {
		pacing.Nodes = func() int { return registry.Size() }
	}
	registry = New(log, store, node, began, pacing)
	ctx, cancel := context.WithCancel(context.Background())
	views, beats := make(chan struct{}), make(chan struct{})
	go func() { defer close(views); registry.View().Run(ctx) }()
	go func() { defer close(beats); registry.Run(ctx) }()
	return member{registry, func() {
		cancel()
		<-views
		<-beats
		log.Close()
	}}
}

func testNode(name string, incarnation int64) Node {
	return Node{Name: name, Incarnation: incarnation, Address: name + ":80", Zone: "z", Region: "r", State: Ready}
}

func TestLiveness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		a, b := join(store, testNode("a", 1)), join(store, testNode("b", 1))
		defer a.stop()
		time.Sleep(2 * time.Second)
		expect := func(what string, incarnation int64, want Liveness) {
			t.Helper()
			if got := a.registry.Liveness("b", incarnation, time.Now()); got != want {
				t.Fatalf("%s: liveness %d, want %d", what, got, want)
			}
		}
		expect("running", 1, Alive)
		expect("an incarnation that is yet to come", 2, Unknown)
		b.stop()
		time.Sleep(a.registry.lapse(2) / 2)
		expect("silent for a moment", 1, Alive)
		time.Sleep(a.registry.lapse(2))
		expect("silent for long", 1, Gone)
		b = join(store, testNode("b", 2))
		defer func() { b.stop() }()
		time.Sleep(time.Second)
		expect("an earlier process", 1, Gone)
		expect("the present process", 2, Alive)
		if got := a.registry.Liveness("nobody", 1, time.Now()); got != Gone {
			t.Fatalf("a node without a row: %d", got)
		}
		if a.registry.Liveness("a", 1, time.Now()) != Alive || a.registry.Liveness("a", 0, time.Now()) != Gone {
			t.Fatal("a node does not know itself")
		}
	})
}

// TestOldRowsProveNothing starts a node beside the rows of one that is gone and of
// one that goes on.
func TestOldRowsProveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		gone, stays := join(store, testNode("gone", 1)), join(store, testNode("stays", 1))
		defer stays.stop()
		time.Sleep(2 * time.Second)
		gone.stop()
		later := join(store, testNode("later", 1))
		defer later.stop()
		time.Sleep(10 * time.Millisecond)
		names := func(nodes []Node) string {
			text := ""
			for _, node := range nodes {
				text += node.Name + " "
			}
			return text
		}
		if got := names(later.registry.Live(time.Now())); got != "gone later stays " {
			t.Errorf("live at first: %s", got)
		}
		if got := names(later.registry.Proven(time.Now())); got != "later " {
			t.Errorf("proven at first: %s", got)
		}
		time.Sleep(700 * time.Millisecond)
		if got := names(later.registry.Proven(time.Now())); got != "later stays " {
			t.Errorf("proven after a beat: %s", got)
		}
		time.Sleep(time.Second)
		if got := names(later.registry.Live(time.Now())); got != "later stays " {
			t.Errorf("live after %.1f beats: %s", unprovenBeats, got)
		}
	})
}

func TestNobodyLapsesWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		a, b := join(store, testNode("a", 1)), join(store, testNode("b", 1))
		defer a.stop()
		defer b.stop()
		time.Sleep(2 * time.Second)
		store.SetFaults(rowstoretest.Faults{Silent: true})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if got := a.registry.Liveness("b", 1, time.Now()); got == Gone {
				t.Fatal("declared gone without a store")
			}
		}
		store.SetFaults(rowstoretest.Faults{})
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if got := a.registry.Liveness("b", 1, time.Now()); got == Gone {
				t.Fatal("declared gone as soon as the store was back")
			}
		}
	})
}

// TestNodeCutOffCountsItselfOutFirst: a node that the store leaves without answers no
// longer relies on the others counting it well before one of them does not.
func TestNodeCutOffCountsItselfOutFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		way := rowstoretest.NewWay(store, time.Second)
		a, b := join(way, testNode("a", 1)), join(store, testNode("b", 1))
		defer a.stop()
		defer b.stop()
		time.Sleep(3 * time.Second)
		if !a.registry.Counted(time.Now()) {
			t.Fatal("not counted while all is well")
		}
		way.Set(rowstoretest.Silenced)
		cut := time.Now()
		var out, gone time.Duration
		for gone == 0 && time.Since(cut) < 10*time.Second {
			time.Sleep(20 * time.Millisecond)
			if out == 0 && !a.registry.Counted(time.Now()) {
				out = time.Since(cut)
			}
			if b.registry.Liveness("a", 1, time.Now()) == Gone {
				gone = time.Since(cut)
			}
		}
		if out == 0 || gone == 0 || out >= gone-a.registry.beat(2)/2 {
			t.Errorf("counts itself out after %s, others after %s", out, gone)
		}
	})
}

func TestSucceedRaisesTheIncarnation(t *testing.T) {
	now := time.UnixMicro(500)
	for _, test := range []struct {
		last              Node
		incarnation, plan int64
	}{
		{Node{}, 500, 0},
		{Node{Incarnation: 900, State: Ready}, 901, 0},
		{Node{Incarnation: 100, State: Stopping, PlannedStarts: 2}, 500, 3},
	} {
		got := Succeed(testNode("a", 0), test.last, now)
		if got.Incarnation != test.incarnation || got.PlannedStarts != test.plan || got.State != Ready {
			t.Errorf("after %+v: %+v", test.last, got)
		}
	}
}

func nodes(count int) []Node {
	list := make([]Node, count)
	for i := range list {
		list[i] = testNode(fmt.Sprintf("front-zone-%d", i), 1)
	}
	return list
}

func TestRankSpreadsKeysAndMovesFew(t *testing.T) {
	const keys, count = 1000, 10
	all := nodes(count)
	owned := make(map[string]int)
	moved := 0
	for key := range keys {
		first := Rank(all, fmt.Sprint(key))[0].Name
		owned[first]++
		if without := Rank(all[1:], fmt.Sprint(key))[0].Name; without != first && first != all[0].Name {
			moved++
		}
	}
	for name, count := range owned {
		if count < keys/20 || count > keys/5 {
			t.Errorf("%s owns %d of %d keys", name, count, keys)
		}
	}
	if moved > 0 {
		t.Errorf("%d keys moved that the lost node did not own", moved)
	}
}

func TestRankSteadyPutsRestartedNodesFirst(t *testing.T) {
	all := nodes(5)
	all[3].PlannedStarts = 1
	if got := RankSteady(all, "key")[0].Name; got != all[3].Name {
		t.Errorf("first is %s", got)
	}
}

func TestAddressesPreferTheZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		zones := []string{"z", "z", "y", "x"}
		var members []member
		for i, zone := range zones {
			node := testNode(fmt.Sprint("n", i), 1)
			node.Zone = zone
			if zone == "x" {
				node.Region = "far"
			}
			members = append(members, join(store, node))
		}
		time.Sleep(2 * time.Second)
		for _, test := range []struct {
			zone, region string
			want         int
		}{{"z", "r", 2}, {"y", "r", 3}, {"x", "far", 4}, {"nowhere", "nowhere", 4}} {
			if got := members[0].registry.Addresses(place.Place{Zone: test.zone, Region: test.region}, Bounds{}, time.Now()); len(got) != test.want {
				t.Errorf("%s in %s: %v, want %d", test.zone, test.region, got, test.want)
			}
		}
		members[1].registry.SetState(Stopping)
		time.Sleep(time.Second)
		if got := members[0].registry.Live(time.Now()); len(got) != 3 {
			t.Errorf("%d live nodes while one is stopping, want 3", len(got))
		}
		for _, member := range members {
			member.stop()
		}
	})
}

func TestAddressesOfManyNodesAreSomeByChance(t *testing.T) {
	all := nodes(3 * addressesMost)
	seen := make(map[string]bool)
	for range 50 {
		found := addresses(all)
		if len(found) != addressesMost {
			t.Fatalf("%d addresses", len(found))
		}
		for _, address := range found {
			seen[address] = true
		}
	}
	if len(seen) != len(all) {
		t.Errorf("only %d of %d nodes are ever told", len(seen), len(all))
	}
}

// TestKeepersAreFewAndCapable: of many nodes a fixed number keeps the jobs, the capable
// ones first; of few, all do. The loss of some moves others up and none out.
func TestKeepersAreFewAndCapable(t *testing.T) {
	list := nodes(300)
	for i := range list {
		list[i].Cores = 0.2
		if i%10 == 0 {
			list[i].Cores = 0.8
		}
	}
	keepers := Keepers(list)
	if len(keepers) != keepersMost || Capable(keepers) != 30 {
		t.Fatalf("%d keepers, %d of them capable", len(keepers), Capable(keepers))
	}
	lost := keepers[0].Name
	rest := slices.DeleteFunc(slices.Clone(list), func(n Node) bool { return n.Name == lost })
	after := Keepers(rest)
	for _, keeper := range keepers[1:] {
		if Place(after, keeper.Name) < 0 {
			t.Errorf("%s keeps no more", keeper.Name)
		}
	}
	if few := nodes(10); len(Keepers(few)) != 10 {
		t.Errorf("%d keepers of 10 nodes", len(Keepers(few)))
	}
}

// TestSelfKeeps: a node alone keeps the jobs.
func TestSelfKeeps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := join(rowstoretest.New(), testNode("a", 1))
		defer a.stop()
		if !a.registry.SelfKeepsWithin(nil, time.Now()) {
			t.Error("a node alone keeps nothing")
		}
	})
}
