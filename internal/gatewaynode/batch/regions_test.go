package batch

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/tenant"
)

// regionsManager returns a manager in region a. Its configuration has a route restricted to
// regions a and b, an unrestricted route, a tenant restricted to b and c, and an unrestricted
// tenant.
func regionsManager() *Manager {
	table := routetable.New(1, []routetable.Route{
		{Name: "ab", Kind: routetable.KindBatch, Regions: place.NewRegions("a", "b")}, {Name: "free", Kind: routetable.KindBatch},
	}, nil, routetable.Limits{})
	table.Tenants = tenant.NewSet([]tenant.Entry{
		{Tenant: tenant.Tenant{Name: "bc", Regions: place.NewRegions("b", "c")}}, {Tenant: tenant.Tenant{Name: "any"}},
	})
	m := &Manager{
		self: presence.Node{Name: "n", Region: "a"}, jobs: make(map[string]*jobState), specs: newSpecCache(),
		config: Config{Routes: func() *routetable.Table { return table }},
	}
	m.runner = newRunner(m)
	return m
}

// TestRegionsOf checks that a job is restricted by both its route and its tenant, and by the
// regions of its acceptance if the configuration lacks the route.
func TestRegionsOf(t *testing.T) {
	m := regionsManager()
	for _, test := range []struct {
		name string
		head Head
		want string
	}{
		{"route only", Head{Route: "ab", Tenant: "any"}, "a,b"},
		{"tenant only", Head{Route: "free", Tenant: "bc"}, "b,c"},
		{"both", Head{Route: "ab", Tenant: "bc"}, "b"},
		{"neither", Head{Route: "free"}, "all"},
		{"route replaces the regions of the acceptance", Head{Route: "ab", Regions: []string{"c"}}, "a,b"},
		{"route missing", Head{Route: "gone", Regions: []string{"c", "d"}}, "c,d"},
		{"route missing, tenant restricted", Head{Route: "gone", Tenant: "bc", Regions: []string{"c", "d"}}, "c"},
	} {
		if got := m.regionsOf(test.head).String(); got != test.want {
			t.Errorf("%s: regions %q, want %q", test.name, got, test.want)
		}
	}
	m.config.Routes = func() *routetable.Table { return nil }
	if got := m.regionsOf(Head{Route: "ab", Regions: []string{"c"}}).String(); got != "c" {
		t.Errorf("no configuration: regions %q, want \"c\"", got)
	}
}

// TestMemoryRespectsRegions checks that specifications and texts of jobs that are not allowed in
// the node's region are dropped from memory, and that no further texts of them are kept.
func TestMemoryRespectsRegions(t *testing.T) {
	m := regionsManager()
	heads := map[string]Head{"here": {Route: "ab"}, "elsewhere": {Route: "free", Tenant: "bc"}}
	for id, head := range heads {
		m.state(id).setHead(head, 1)
		m.specs.put(id, &Spec{ID: id})
		m.runner.kept.put("item of "+id, text{}, head.residency())
	}
	m.dropDisallowed()
	for id, head := range heads {
		job := &ownedJob{origin: head}
		m.runner.keepText(job, "later item of "+id, text{})
		wanted := id == "here"
		_, kept := m.runner.kept.get("item of " + id)
		_, later := m.runner.kept.get("later item of " + id)
		if held := m.specs.get(id) != nil; held != wanted || kept != wanted || later != wanted {
			t.Errorf("%s: kept specification %t, earlier text %t, later text %t; want %t", id, held, kept, later, wanted)
		}
	}
}

// TestConfined checks that a model is restricted to the regions of all its recent jobs, and not
// restricted if one of them is not.
func TestConfined(t *testing.T) {
	m := regionsManager()
	put := func(id string, head Head) { m.state(id).setHead(head, 1) }
	put("1", Head{Model: "m", Route: "ab"})
	put("2", Head{Model: "m", Route: "free", Tenant: "bc"})
	put("3", Head{Model: "n", Route: "ab"})
	put("4", Head{Model: "n", Route: "free"})
	put("5", Head{Model: "o", Route: "ab"})
	m.jobs["5"].firstSeen = time.Now().Add(-2 * demandWindow)
	found := m.Confined()
	if len(found) != 1 || found["m"].String() != "a,b,c" {
		t.Errorf("Confined() = %v, want a,b,c for m only", found)
	}
}
