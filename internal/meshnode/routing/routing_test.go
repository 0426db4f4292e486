package routing

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestChoose runs each policy over the pool that the last "pool" command gave.
func TestChoose(t *testing.T) {
	datadriven.Walk(t, "testdata/choose", func(t *testing.T, path string) {
		var pool Pool
		var policy Policy
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "pool":
				pool = Pool{Name: "p"}
				for line := range strings.Lines(d.Input) {
					pool.Backends = append(pool.Backends, parseBackend(t, strings.Fields(line)))
				}
				return ""
			case "policy":
				var err error
				policy, err = NewPolicy(PolicyName(d.CmdArgs[0].Key), 1)
				if err != nil {
					return err.Error()
				}
				return ""
			case "choose":
				return chooseMany(t, policy, &pool, d)
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func parseBackend(t *testing.T, fields []string) Backend {
	b := Backend{Name: fields[0], Zone: "z1", Capacity: 10, Reported: true}
	for _, field := range fields[1:] {
		name, value, _ := strings.Cut(field, "=")
		targets := map[string]any{
			"zone": &b.Zone, "running": &b.Running, "waiting": &b.Waiting, "capacity": &b.Capacity,
			"version": &b.Version, "in_flight": &b.InFlight, "at_report": &b.ReportInFlight, "limit": &b.Limit,
		}
		switch {
		case name == "suspect":
			b.Suspect = true
		case name == "draining":
			b.Draining = true
		case name == "quiet":
			b.Quiet = true
		case targets[name] != nil:
			if _, err := fmt.Sscan(value, targets[name]); err != nil {
				t.Fatalf("%s: %v", field, err)
			}
		default:
			t.Fatalf("unknown field %q", field)
		}
	}
	return b
}

// chooseMany chooses count times over the same pool and counts the choices;
// with explain it shows why.
func chooseMany(t *testing.T, policy Policy, pool *Pool, d *datadriven.TestData) string {
	request := Request{Zone: "z1"}
	count := 1
	d.MaybeScanArgs(t, "count", &count)
	d.MaybeScanArgs(t, "zone", &request.Zone)
	d.MaybeScanArgs(t, "min_version", &request.MinVersion)
	d.MaybeScanArgs(t, "hint", &request.AffinityHint)
	request.PreferQuiet = d.HasArg("prefer_quiet")
	if d.HasArg("admission") {
		request.Admission = &Admission{}
		d.MaybeScanArgs(t, "reserve", &request.Admission.Reserve)
		d.MaybeScanArgs(t, "quiet_slots", &request.Admission.QuietSlots)
	}
	var prompt string
	d.MaybeScanArgs(t, "prompt", &prompt)
	request.PrefixHash = PrefixHash(prompt)
	for _, argument := range d.CmdArgs {
		if argument.Key == "excluded" {
			request.Excluded = argument.Vals
		}
	}
	counts := map[string]int{}
	var last Choice
	for range count {
		last = Choose(policy, pool, &request)
		counts[last.Explanation.Chosen]++
	}
	var out strings.Builder
	for _, b := range pool.Backends {
		if counts[b.Name] > 0 {
			fmt.Fprintf(&out, "%s %d\n", b.Name, counts[b.Name])
		}
	}
	if counts[""] > 0 {
		fmt.Fprintf(&out, "none %d\n", counts[""])
	}
	if d.HasArg("explain") {
		for _, c := range last.Explanation.Considered {
			fmt.Fprintf(&out, "  %s %s score=%.2f\n", c.Backend, reasonText(c.Reason), c.Score)
		}
	}
	return out.String()
}

// TestQuietNames checks that the set depends on the names alone and not on
// their order, and that it is a share rounded up.
func TestQuietNames(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	forward := QuietNames("p", names, 0.3)
	slices.Reverse(names)
	if backward := QuietNames("p", names, 0.3); len(forward) != 2 || !slices.Equal(forward, backward) {
		t.Errorf("%v and %v", forward, backward)
	}
}

func reasonText(reason Reason) string {
	if reason == ReasonEligible {
		return "eligible"
	}
	return string(reason)
}
