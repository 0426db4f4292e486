package routetable

import (
	"math"
	"testing"
)

func table() *Table {
	return New(3, []Route{
		{Name: "short", Host: "h.example", Prefix: "/a/"},
		{Name: "long", Host: "h.example", Prefix: "/a/b/"},
		{Name: "other", Host: "i.example", Prefix: "/a/b/c/"},
	}, []Service{{Name: "s"}}, Limits{})
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	for _, test := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"h.example", "/a/b/c/d", "long"},
		{"H.Example", "/a/b/", "long"},
		{"h.example", "/a/b", "short"},
		{"h.example", "/a", ""},
		{"i.example", "/a/b/x", ""},
		{"j.example", "/a/x", ""},
	} {
		got := ""
		if route := table().Match(test.host, test.path); route != nil {
			got = route.Name
		}
		if got != test.want {
			t.Errorf("%s%s: route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestPickKeepsSharesOverShortStretches(t *testing.T) {
	route := Route{Splits: []Split{{"a", 70}, {"b", 20}, {"c", 10}}}
	for _, offset := range []float64{0, 0.3, 0.77} {
		counts := make(map[string]int)
		const requests = 100
		for i := range uint64(requests) {
			counts[route.Pick(i, offset)]++
		}
		for _, split := range route.Splits {
			if share := float64(counts[split.Service]) / requests; math.Abs(share-split.Weight/100) > 0.03 {
				t.Errorf("offset %v: part %s has %v, want %v", offset, split.Service, share, split.Weight/100)
			}
		}
	}
}

func TestPickOverManyNodesWithFewRequests(t *testing.T) {
	route := Route{Splits: []Split{{"a", 90}, {"b", 10}}}
	count := 0
	const nodes, requests = 200, 5
	for node := range nodes {
		for i := range uint64(requests) {
			if route.Pick(i, float64(node)/nodes) == "b" {
				count++
			}
		}
	}
	if share := float64(count) / (nodes * requests); math.Abs(share-0.1) > 0.02 {
		t.Errorf("the small part has %v of the requests", share)
	}
}

func TestPickWithoutParts(t *testing.T) {
	if got := (&Route{}).Pick(1, 0); got != "" {
		t.Errorf("picked %q", got)
	}
}
