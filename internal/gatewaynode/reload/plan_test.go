package reload

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// TestPlan reads back ends and named versions and prints the loads planned.
// Lines of input:
//
//	named MODEL VERSION
//	demand MODEL WORK
//	width MODEL ITEMS
//	bound MODEL REGION...
//	ID MODEL=VERSION... [busy] [resting] [draining] [for:MODEL] [in:REGION]
func TestPlan(t *testing.T) {
	datadriven.RunTest(t, "testdata/plan", func(t *testing.T, data *datadriven.TestData) string {
		named, before := make(map[string]int64), make(map[string]string)
		busy, resting := make(map[string]bool), make(map[string]bool)
		demand, widths := make(map[string]float64), make(map[string]int)
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
			if words[0] == "named" {
				named[words[1]] = number(t, words[2])
				continue
			}
			backends = append(backends, readBackend(t, words, busy, resting, before))
		}
		var out strings.Builder
		shares := assignShares(backends, named, demand, before, within)
		for _, next := range plan(planInput{
			backends: backends, world: &eligibility.World{}, named: named, shares: shares, busy: busy, resting: resting, widths: widths,
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
