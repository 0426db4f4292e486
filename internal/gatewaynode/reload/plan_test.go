package reload

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/evacuation"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// TestPlan reads back ends and named versions and prints the loads planned.
// Lines of input:
//
//	named MODEL VERSION
//	demand MODEL WORK
//	width MODEL ITEMS
//	evacuated ZONE
//	bound MODEL REGION...
//	ID MODEL=VERSION... [busy] [resting] [draining] [cold] [for:MODEL] [zone:ZONE] [in:REGION]
func TestPlan(t *testing.T) {
	datadriven.RunTest(t, "testdata/plan", func(t *testing.T, data *datadriven.TestData) string {
		named, before := make(map[string]int64), make(map[string]string)
		busy, resting := make(map[string]bool), make(map[string]bool)
		demand, widths := make(map[string]float64), make(map[string]int)
		world := &eligibility.Snapshot{
			Now: time.Unix(1000, 0), Evacuations: evacuation.Set{}, ColdRequestsLeft: func(*fleet.Backend) int { return 1 },
		}
		within := bounds{regions: make(map[string]place.Regions), zones: place.NewMap(map[string]string{"ax": "a", "bx": "b"})}
		var backends []fleet.Backend
		for line := range strings.Lines(data.Input) {
			words := strings.Fields(line)
			if words[0] == "demand" {
				demand[words[1]] = float64(number(t, words[2]))
				continue
			}
			if words[0] == "bound" {
				within.regions[words[1]] = place.NewRegions(words[2:]...)
				continue
			}
			if words[0] == "width" {
				widths[words[1]] = int(number(t, words[2]))
				continue
			}
			if words[0] == "evacuated" {
				world.Evacuations[words[1]] = evacuation.Evacuation{Zone: words[1]}
				continue
			}
			if words[0] == "named" {
				named[words[1]] = number(t, words[2])
				continue
			}
			backends = append(backends, readBackend(t, words, busy, resting, before))
		}
		var out strings.Builder
		shares := assignShares(usable(backends, world), named, demand, before, within)
		for _, next := range plan(planInput{
			backends: backends, world: world, named: named, shares: shares, busy: busy, resting: resting, widths: widths,
			parallel: func(string, int) int { return 2 },
		}) {
			fmt.Fprintf(&out, "%s loads %s %d\n", next.backend.ID, next.model, next.version)
		}
		if out.Len() == 0 {
			out.WriteString("nothing\n")
		}
		if data.HasArg("shares") {
			for _, backend := range backends {
				fmt.Fprintf(&out, "%s is for %s\n", backend.ID, shares[backend.ID])
			}
		}
		return out.String()
	})
}

func readBackend(t *testing.T, words []string, busy, resting map[string]bool, before map[string]string) fleet.Backend {
	backend := fleet.Backend{Instance: fleet.Instance{ID: words[0], Service: "pool", Slots: 4, Models: make(map[string]int64)}}
	for _, word := range words[1:] {
		model, version, found := strings.Cut(word, "=")
		switch {
		case found:
			backend.Models[model] = number(t, version)
		case strings.HasPrefix(word, "for:"):
			before[backend.ID] = strings.TrimPrefix(word, "for:")
		case strings.HasPrefix(word, "in:"):
			backend.Zone = strings.TrimPrefix(word, "in:") + "x"
		case word == "busy":
			busy[backend.ID] = true
		case word == "resting":
			resting[backend.ID] = true
		case strings.HasPrefix(word, "zone:"):
			backend.Zone = strings.TrimPrefix(word, "zone:")
		case word == "cold":
			backend.ColdUntil = time.Unix(1001, 0)
		case word == "draining":
			backend.Draining = true
		}
	}
	return backend
}

func number(t *testing.T, text string) int64 {
	var value int64
	if _, err := fmt.Sscan(text, &value); err != nil {
		t.Fatal(err)
	}
	return value
}

// TestSharesComeBackAfterAnEvacuation: what was loaded for a model is still there, so each
// back end is for the model again that it was for before.
func TestSharesComeBackAfterAnEvacuation(t *testing.T) {
	var backends []fleet.Backend
	for place := range 12 {
		zone := []string{"z1", "z2", "z3"}[place%3]
		backends = append(backends, fleet.Backend{Instance: fleet.Instance{
			ID: fmt.Sprintf("b%02d", place), Zone: zone, Service: "pool", Models: map[string]int64{"m": 1, "n": 1},
		}})
	}
	var h homes
	var shares map[string]string
	assign := func(evacuated ...string) {
		world := &eligibility.Snapshot{Evacuations: evacuation.Set{}}
		for _, zone := range evacuated {
			world.Evacuations[zone] = evacuation.Evacuation{Zone: zone}
		}
		counted := usable(backends, world)
		away := len(backends) - len(counted)
		before := h.before(shares, away)
		shares = h.note(assignShares(counted, nil, map[string]float64{"m": 2, "n": 1}, before, bounds{}), before, backends, away)
	}
	assign()
	original := maps.Clone(shares)
	assign("z1", "z2")
	for _, model := range []string{"m", "n"} {
		held := slices.ContainsFunc(backends, func(b fleet.Backend) bool { return b.Zone == "z3" && shares[b.ID] == model })
		if !held {
			t.Errorf("no back end that may be used is for %s", model)
		}
	}
	assign("z2")
	assign()
	if !maps.Equal(shares, original) {
		t.Errorf("shares %v, before the evacuation %v", shares, original)
	}
}
