package batch

import (
	"fmt"
	"testing"

	"github.com/sliplift/sliplift/internal/fleet"
)

func pool(backends, slots, models int) []fleet.Backend {
	list := make([]fleet.Backend, backends)
	for i := range list {
		list[i].Slots = slots
		list[i].Models = make(map[string]int64)
		for m := range models {
			list[i].Models[fmt.Sprint(m)] = 1
		}
	}
	return list
}

func TestOwnerKey(t *testing.T) {
	keys := func(backends []fleet.Backend) int {
		seen := make(map[string]bool)
		for job := range 500 {
			seen[ownerKey("s", fmt.Sprint(job%2), fmt.Sprint(job), backends)] = true
		}
		return len(seen)
	}
	for _, test := range []struct {
		name string
		pool []fleet.Backend
		want int
	}{
		{"none known", nil, 1},
		{"small", pool(9, 16, 2), 1},
		{"two owners, by model", pool(60, 16, 2), 2},
		{"more owners than models, by job", pool(1600, 16, 2), 43},
	} {
		if got := keys(test.pool); got != test.want {
			t.Errorf("%s: %d keys, want %d", test.name, got, test.want)
		}
	}
}
