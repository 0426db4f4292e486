package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/steptest"
)

// TestStories runs the tables in testdata. Commands:
//
//	start nodes=N regions=R    a joined cluster n0, n1, ...; ni is in region r(i mod R)
//	run for=DURATION
//	kill|freeze|thaw|leave|restart nodes=(a,b)
//	cut|heal a=X b=Y           between nodes or regions
//	lose percent=P
//	view from=NODE             who is not alive to NODE, and why
func TestStories(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return steptest.Run(t, d, func(t *testing.T, d *datadriven.TestData) string {
				if d.Cmd == "start" {
					var nodes, regions int
					d.ScanArgs(t, "nodes", &nodes)
					d.ScanArgs(t, "regions", &regions)
					s = joined(1, nodes, regions)
					return ""
				}
				return s.command(t, d)
			})
		})
	})
}

func (s *simulation) command(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "run":
		var span string
		d.ScanArgs(t, "for", &span)
		duration, err := time.ParseDuration(span)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.run(duration)
	case "cut", "heal":
		var a, b string
		d.ScanArgs(t, "a", &a)
		d.ScanArgs(t, "b", &b)
		s.cuts[[2]string{a, b}] = d.Cmd == "cut"
	case "lose":
		var percent int
		d.ScanArgs(t, "percent", &percent)
		s.loss = float64(percent) / 100
	case "view":
		var from string
		d.ScanArgs(t, "from", &from)
		return s.describe(from)
	default:
		argument, _ := d.Arg("nodes")
		for _, name := range argument.Vals {
			s.change(t, d, name)
		}
	}
	return ""
}

func (s *simulation) change(t *testing.T, d *datadriven.TestData, name string) {
	node := s.nodes[name]
	switch d.Cmd {
	case "kill":
		node.down = true
	case "freeze":
		node.frozen = true
	case "thaw":
		s.thaw(name)
	case "leave":
		s.send(node, node.machine.Leave(s.now))
	case "restart":
		s.restart(name)
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
}

func (s *simulation) describe(from string) string {
	var b strings.Builder
	snapshot := s.nodes[from].machine.Snapshot(s.now)
	fmt.Fprintf(&b, "%d alive\n", len(snapshot.Alive()))
	for _, member := range snapshot.Members {
		if member.State != StateAlive {
			fmt.Fprintf(&b, "%s %s%s\n", member.Name, member.State, s.evidence(member))
		} else if member.Incarnation > 1 {
			fmt.Fprintf(&b, "%s incarnation %d\n", member.Name, member.Incarnation)
		}
	}
	for _, region := range snapshot.Regions {
		if region.Unreached {
			fmt.Fprintf(&b, "region %s unreached, last heard by %s, %s before that was concluded\n", region.Name, region.HeardBy, region.UnreachedSince.Sub(region.HeardAt).Round(time.Second))
		}
	}
	return b.String()
}

// evidence says what the observers of a member have in common.
func (s *simulation) evidence(member Member) string {
	if member.State == StateLeft || member.State == StateUnreachable {
		return ""
	}
	zones := map[string]bool{}
	where := "outside"
	for _, name := range member.Observers {
		observer := s.nodes[name].identity
		zones[observer.Zone] = true
		if observer.Region == member.Region {
			where = "inside"
		}
	}
	if len(zones) == 1 {
		return fmt.Sprintf(", observed from one zone, %s its region", where)
	}
	return fmt.Sprintf(", observed from several zones, %s its region", where)
}
