package drain

import (
	"slices"
	"testing"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

func TestOrders(t *testing.T) {
	backend := configlog.Backend{Name: "e1", Zone: "a", Site: "old"}
	drained := func(scope configlog.DrainScope, name string) *configlog.State {
		key := configlog.DrainKey(scope, name)
		return &configlog.State{Drains: map[string]configlog.Drain{key: {Scope: scope, Name: name}}}
	}
	serving := Report{Backend: backend, Role: api.RoleServing, Reachable: true}
	draining := Report{Backend: backend, Role: api.RoleDraining, Reachable: true}
	own := serving
	own.Leaving = true
	silent := Report{Backend: backend}
	cases := []struct {
		name    string
		state   *configlog.State
		leaving map[string]bool
		report  Report
		want    api.Role // empty for no order
		reason  Reason
	}{
		{"nothing to do", &configlog.State{}, nil, serving, "", ReasonNone},
		{"engine drained", drained(configlog.DrainEngine, "e1"), nil, serving, api.RoleDraining, ReasonOrder},
		{"zone drained", drained(configlog.DrainZone, "a"), nil, serving, api.RoleDraining, ReasonOrder},
		{"site drained", drained(configlog.DrainSite, "old"), nil, serving, api.RoleDraining, ReasonOrder},
		{"another site drained", drained(configlog.DrainSite, "new"), nil, serving, "", ReasonNone},
		{"already draining", drained(configlog.DrainZone, "a"), nil, draining, "", ReasonOrder},
		{"machine list says so", &configlog.State{}, map[string]bool{"e1": true}, serving, api.RoleDraining, ReasonMachineList},
		{"own report says so", &configlog.State{}, nil, own, api.RoleDraining, ReasonOwnReport},
		{"resumed", &configlog.State{}, nil, draining, api.RoleServing, ReasonNone},
		{"silent and drained", drained(configlog.DrainZone, "a"), nil, silent, api.RoleDraining, ReasonOrder},
		{"silent is not resumed blindly", &configlog.State{}, nil, silent, "", ReasonNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var want []RoleOrder
			if c.want != "" {
				want = []RoleOrder{{Backend: backend, Role: c.want, Reason: c.reason}}
			}
			got := Orders(c.state, c.leaving, []Report{c.report})
			if !slices.Equal(got, want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}
