package evacuation

import (
	"slices"
	"testing"
	"time"
)

func zonesOf(list []Evacuation) []string {
	var zones []string
	for _, e := range list {
		zones = append(zones, e.Zone)
	}
	return zones
}

func TestBook(t *testing.T) {
	steps := []struct {
		name         string
		rows         []Row
		complete     bool
		begun, ended []string
		inForce      []string
	}{
		{"first read", []Row{{Zone: "a", Revision: 5}}, true, []string{"a"}, nil, []string{"a"}},
		{"read again", []Row{{Zone: "a", Revision: 5}}, true, nil, nil, []string{"a"}},
		{"a second zone", []Row{{Zone: "b", Revision: 6}}, false, []string{"b"}, nil, []string{"a", "b"}},
		{"taken away", []Row{{Zone: "a", Revision: 8, Removed: true}}, false, nil, []string{"a"}, []string{"b"}},
		{"a late older change", []Row{{Zone: "a", Revision: 7}}, false, nil, nil, []string{"b"}},
		{"quick succession in one read", []Row{{Zone: "a", Revision: 9}, {Zone: "a", Revision: 10, Removed: true}, {Zone: "a", Revision: 11}}, false, []string{"a", "a"}, []string{"a"}, []string{"a", "b"}},
		{"gone from a whole read", []Row{{Zone: "a", Revision: 11}}, true, nil, []string{"b"}, []string{"a"}},
		{"none left", nil, true, nil, []string{"a"}, nil},
	}
	book := NewBook()
	for _, step := range steps {
		change := book.Update(step.rows, step.complete, time.Unix(1, 0))
		if begun := zonesOf(change.Begun); !slices.Equal(begun, step.begun) {
			t.Errorf("%s: begun %v", step.name, begun)
		}
		if ended := zonesOf(change.Ended); !slices.Equal(ended, step.ended) {
			t.Errorf("%s: ended %v", step.name, ended)
		}
		if inForce := book.InForce().Zones(); !slices.Equal(inForce, step.inForce) {
			t.Errorf("%s: in force %v", step.name, inForce)
		}
	}
}
