package presence

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

// membersNamed returns nodes in an order of names, one in five of them large.
func membersNamed(count int) []Node {
	nodes := make([]Node, count)
	for i := range nodes {
		nodes[i] = Node{Name: fmt.Sprintf("n%04d", i), State: Ready, Cores: 0.192, Region: fmt.Sprint("r", i%3)}
		if i%5 == 0 {
			nodes[i].Cores = 0.8
		}
	}
	return nodes
}

// TestMembersAnswerAsNodesDo: what members remember is what the functions over nodes say.
func TestMembersAnswerAsNodesDo(t *testing.T) {
	nodes := membersNamed(200)
	members := NewMembers(nodes)
	for _, without := range []string{"", "n0005", "nobody"} {
		for range 2 {
			others := make([]Node, 0, len(nodes))
			for _, n := range nodes {
				if n.Name != without {
					others = append(others, n)
				}
			}
			if got, want := members.RankSteady("lease", without), RankSteady(others, "lease"); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("without %q: %v, want %v", without, got, want)
			}
		}
	}
	for _, regions := range []place.Regions{{}, place.NewRegions("r1"), place.NewRegions("r0", "r2"), place.NewRegions("r9")} {
		for range 2 {
			if got, want := members.KeepersWithin(regions), KeepersWithin(nodes, regions); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("in %s: %v, want %v", regions, got, want)
			}
		}
	}
}

// TestMembersStayTheSame: beats alone make no new members, and whatever changes them is
// seen at once, a lapse within membersFor.
func TestMembersStayTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		one, other := join(store, testNode("a", 1)), join(store, testNode("b", 1))
		defer one.stop()
		defer other.stop()
		a, b := one.registry, other.registry
		time.Sleep(3 * time.Second)
		first := a.Members(time.Now())
		if len(first.Nodes()) != 2 {
			t.Fatalf("%d nodes", len(first.Nodes()))
		}
		time.Sleep(10 * time.Second)
		if a.Members(time.Now()) != first {
			t.Error("beats made other members")
		}
		b.SetState(Stopping)
		if len(b.Members(time.Now()).Nodes()) != 1 {
			t.Error("a node that stops counts itself")
		}
		time.Sleep(time.Second)
		if got := a.Members(time.Now()); got == first || len(got.Nodes()) != 1 {
			t.Errorf("%d nodes once one stops", len(got.Nodes()))
		}
	})
}

// BenchmarkRankOfOneNode measures what a node costs that wants to know its place for a
// lease among 986, as each look at a lease does.
func BenchmarkRankOfOneNode(b *testing.B) {
	nodes := membersNamed(986)
	b.Run("anew", func(b *testing.B) {
		for b.Loop() {
			RankSteady(nodes, "lease")
		}
	})
	b.Run("members", func(b *testing.B) {
		members := NewMembers(nodes)
		for b.Loop() {
			members.RankSteady("lease", "")
		}
	})
}
