package routetable

import (
	"slices"
	"testing"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/tenant"
)

func boundRoute(name, host string, kind Kind, regions ...string) Route {
	return Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Regions: place.NewRegions(regions...)}
}

func TestHostRegions(t *testing.T) {
	table := New(1, []Route{
		boundRoute("a", "some", KindSafe, "north", "south"), boundRoute("b", "some", KindBatch, "south", "east"), boundRoute("c", "some", KindSafe),
		boundRoute("d", "every", KindBatch, "north"), boundRoute("e", "every", KindBatch, "south"),
		boundRoute("f", "free", KindBatch),
	}, nil, Limits{})
	for _, test := range []struct {
		host, common, any, jobs string
		strict                  bool
	}{
		{"SOME", "south", "east,north,south", "east,south", false},
		{"every", "", "north,south", "", true},
		{"free", "all", "all", "all", false},
		{"unknown", "all", "all", "all", false},
	} {
		found := table.HostRegions(test.host)
		if found.Common.String() != test.common || found.Any.String() != test.any || found.Strict != test.strict {
			t.Errorf("%s: %+v", test.host, found)
		}
		if jobs := table.HostJobRegions(test.host, ""); jobs.String() != test.jobs {
			t.Errorf("%s: jobs in %q", test.host, jobs)
		}
	}
}

// TestConfinements: sets that batch jobs may be bound to, each once, by route and tenant.
func TestConfinements(t *testing.T) {
	table := New(1, []Route{
		boundRoute("a", "h", KindBatch, "north", "south"), boundRoute("b", "h", KindBatch), boundRoute("c", "h", KindSafe, "west"),
	}, nil, Limits{})
	table.Tenants = tenant.NewSet([]tenant.Entry{
		{Tenant: tenant.Tenant{Name: "x", Regions: place.NewRegions("south")}}, {Tenant: tenant.Tenant{Name: "y"}},
		{Tenant: tenant.Tenant{Name: "z", Regions: place.NewRegions("west")}},
	})
	var found []string
	for _, regions := range table.Confinements() {
		found = append(found, regions.String())
	}
	slices.Sort(found)
	if want := []string{"north,south", "south", "west"}; !slices.Equal(found, want) {
		t.Errorf("%v, want %v", found, want)
	}
}
