package place

import "testing"

func TestRegions(t *testing.T) {
	all, north, both := NewRegions(), NewRegions("north"), NewRegions("south", "north", "south")
	none := north.And(NewRegions("south"))
	cases := []struct {
		name    string
		regions Regions
		has     bool
		text    string
	}{
		{"all have it", all, true, "all"},
		{"one has it", north, true, "north"},
		{"several have it", both, true, "north,south"},
		{"all and one", all.And(north), true, "north"},
		{"one and all", north.And(all), true, "north"},
		{"both bind", both.And(north), true, "north"},
		{"none is left", none, false, ""},
		{"none or one", none.Or(north), true, "north"},
		{"none or none", none.Or(none), false, ""},
		{"one or all", north.Or(all), true, "all"},
	}
	for _, test := range cases {
		if got := test.regions.Has("north"); got != test.has || test.regions.String() != test.text {
			t.Errorf("%s: has %t, %q", test.name, got, test.regions)
		}
	}
	if north.Has("") || !all.Has("") {
		t.Error("a region that is not known is in every region alone")
	}
}

func TestMap(t *testing.T) {
	m := NewMap(map[string]string{"a1": "a"})
	if m.Region("a1") != "a" || m.Region("b1") != "" || (Map{}).Region("a1") != "" {
		t.Error("region of a zone")
	}
	if m.Of("a1") != (Place{Zone: "a1", Region: "a"}) {
		t.Error("place of a zone")
	}
}
