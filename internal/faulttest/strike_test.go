package faulttest

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/emulator/fault"
)

// strike does what the command says, at once or at the moment that it names.
func (s *story) strike(t *testing.T, d *datadriven.TestData) string {
	do := s.effect(t, d)
	m, timed := momentOf(t, d)
	if !timed {
		do(argument(d, 0))
		return ""
	}
	target, count := argument(d, 0), 1
	d.MaybeScanArgs(t, "count", &count)
	s.world.network.At(m, count, func(host string) {
		if target != "" {
			host = target
		}
		do(host)
	})
	return ""
}

func momentOf(t *testing.T, d *datadriven.TestData) (moment, bool) {
	var m moment
	d.MaybeScanArgs(t, "of", &m.action.host)
	for _, p := range []phase{before, after} {
		text := ""
		if d.MaybeScanArgs(t, string(p), &text) {
			m.phase, m.action.kind = p, actionKind(text)
			return m, true
		}
	}
	return m, false
}

// effect returns what the command does to a host. It must not block, since a
// moment may call it.
func (s *story) effect(t *testing.T, d *datadriven.TestData) func(host string) {
	w := s.world
	switch d.Cmd {
	case "kill":
		return w.KillNode
	case "stop":
		return s.stopInBackground
	case "freeze":
		return w.FreezeNode
	case "isolate":
		but, _ := d.Arg("but")
		return func(host string) { w.IsolateNode(host, but.Vals...) }
	case "cut":
		other := argument(d, 1)
		return func(host string) { w.network.Cut(host, other) }
	}
	strike := fault.Fault{Kind: fault.Kind(argument(d, 1))}
	if _, timed := momentOf(t, d); !timed {
		d.MaybeScanArgs(t, "count", &strike.Count)
	}
	d.MaybeScanArgs(t, "strikes", &strike.Count)
	strike.DelayMS = duration(t, d, "delay", 0).Milliseconds()
	strike.DurationMS = duration(t, d, "lasting", 0).Milliseconds()
	strike.Probability = float(t, d, "probability", 0)
	return func(target string) {
		added := strike
		added.Target = target
		w.Fault(added)
	}
}

// stopTimeout is longer than that of the nodes in a cluster.
const stopTimeout = time.Minute

func (s *story) stopInBackground(host string) {
	s.world.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := s.world.StopNode(ctx, host); err != nil {
			s.world.note("stop %s: %v", host, err)
		}
	})
}
