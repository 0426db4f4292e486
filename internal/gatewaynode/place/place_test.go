package place

import "testing"

func TestRegions(t *testing.T) {
	all, north, both := NewRegions(), NewRegions("north"), NewRegions("south", "north", "south")
	none := north.Intersect(NewRegions("south"))
	cases := []struct {
		name    string
		regions Regions
		has     bool
		text    string
	}{
		{"every region", all, true, "all"},
		{"one region", north, true, "north"},
		{"two regions", both, true, "north,south"},
		{"every region and one", all.Intersect(north), true, "north"},
		{"one and every region", north.Intersect(all), true, "north"},
		{"intersection of two and one", both.Intersect(north), true, "north"},
		{"empty intersection", none, false, ""},
		{"empty or one", none.Union(north), true, "north"},
		{"empty or empty", none.Union(none), false, ""},
		{"one or every region", north.Union(all), true, "all"},
	}
	for _, test := range cases {
		if got := test.regions.Has("north"); got != test.has || test.regions.String() != test.text {
			t.Errorf("%s: has %t, %q", test.name, got, test.regions)
		}
	}
	if north.Has("") || !all.Has("") {
		t.Error("the empty region name must be contained only in the set of every region")
	}
}

func TestMap(t *testing.T) {
	m := NewMap(map[string]string{"a1": "a"})
	if m.Region("a1") != "a" || m.Region("b1") != "" || (Map{}).Region("a1") != "" {
		t.Error("Region returned a wrong region")
	}
	if m.Of("a1") != (Place{Zone: "a1", Region: "a"}) {
		t.Error("Of returned a wrong place")
	}
}
