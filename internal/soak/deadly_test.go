package soak

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sliplift/sliplift/platform/standin"
)

// TestJudgeOfDeadlyRequests: each row is how often a work was sent on after its third end,
// by whom, and whether that breaks a promise.
func TestJudgeOfDeadlyRequests(t *testing.T) {
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	run := func(sampler, node string, number int, seconds float64) standin.Run {
		return standin.Run{ID: fmt.Sprintf("deadly-1-%s-7-%d", node, number), Sampler: sampler, Began: at(seconds)}
	}
	first := []standin.Run{run("app-5", "n1", 0, 1), run("app-6", "n1", 1, 1.1), run("app-7", "n2", 2, 1.2)}
	deaths := []death{{"app-5", at(1.05)}, {"app-6", at(1.15)}, {"app-7", at(1.25)}}
	again := func(node string, count int, seconds float64) []standin.Run {
		var runs []standin.Run
		for i := range count {
			runs = append(runs, run("app-5", node, 10+i, seconds))
		}
		return runs
	}
	for _, test := range []struct {
		name      string
		runs      []standin.Run
		deaths    []death
		disturbed string
		broken    bool
	}{
		{"sent on before others can know", again("n1", 9, 4), deaths, "", false},
		{"as often as allowed", again("n1", 3, 5), deaths, "", false},
		{"once more", again("n1", 4, 5), deaths, "", true},
		{"two ends", again("n1", 4, 5), deaths[:2], "", false},
		{"by a node that was away", again("n3", 4, 5), deaths, "n3", false},
		{"by another node", again("n1", 4, 5), deaths, "n3", true},
	} {
		judge, history := NewJudge(), NewHistory()
		if test.disturbed != "" {
			history.spans[test.disturbed] = []span{{at(3), at(4)}}
		}
		judge.Deadly("1", append(test.runs, first...), test.deaths, history)
		if said := strings.Join(judge.Breaches(), "; "); (said != "") != test.broken {
			t.Errorf("%s: the judge says %q", test.name, said)
		}
	}
}

// TestRunsSideBySideShareNoAddress: the processes of a thousand runs have addresses of their
// own.
func TestRunsSideBySideShareNoAddress(t *testing.T) {
	seen := make(map[string]bool)
	for process := 300; process < 1300; process++ {
		address := loopbackOf(process)
		if seen[address] || net.ParseIP(address) == nil || !net.ParseIP(address).IsLoopback() {
			t.Fatalf("process %d: %s", process, address)
		}
		seen[address] = true
	}
}

// TestNoPortIsGivenTwice: the nodes of a run get ports of their own, also while none of them
// listens yet.
func TestNoPortIsGivenTwice(t *testing.T) {
	seen := make(map[int]bool)
	for range 300 {
		ports, err := freePorts(4)
		if err != nil {
			t.Fatal(err)
		}
		for _, port := range ports {
			if seen[port] {
				t.Fatalf("port %d twice", port)
			}
			seen[port] = true
		}
	}
}
