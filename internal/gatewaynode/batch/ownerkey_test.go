package batch

import (
	"fmt"
	"testing"
)

func TestOwnerKey(t *testing.T) {
	keys := func(slots, models int) int {
		seen := make(map[string]bool)
		for job := range 500 {
			seen[ownerKey("s", fmt.Sprint(job%2), fmt.Sprint(job), slots, models)] = true
		}
		return len(seen)
	}
	for _, test := range []struct {
		name            string
		backends, slots int
		want            int
	}{
		{"no backends", 0, 0, 1},
		{"one owner", 9, 16, 1},
		{"owners by model", 60, 16, 2},
		{"owners by job", 1600, 16, 43},
	} {
		models := min(2, test.backends)
		if got := keys(test.backends*test.slots, models); got != test.want {
			t.Errorf("%s: %d owner keys, want %d", test.name, got, test.want)
		}
	}
}
