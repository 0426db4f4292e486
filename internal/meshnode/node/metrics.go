package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sliplift/sliplift/internal/meshnode/membership"
)

const metricsNamespace = "sliplift"

// registerMetrics shows the state of the control parts; requests, back ends and
// peer messages are counted where they happen.
func (n *Node) registerMetrics() {
	gauge := func(name, help string, value func() float64) {
		options := prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}
		n.registry.MustRegister(prometheus.NewGaugeFunc(options, value))
	}
	gauge("ready", "1 while the node takes new work.", func() float64 { return boolValue(n.Ready() == nil) })
	gauge("config_revision", "Revision of the configuration that the node applied.", func() float64 {
		return float64(n.configuration.Current().Revision)
	})
	gauge("leases_held", "Control leases that the node holds.", func() float64 { return float64(len(n.catalogLeases())) })
	gauge("steps_owned", "Steps of trainers that the node owns.", func() float64 { return float64(len(n.rollouts.Steps())) })
	gauge("claims_vote", "1 while the node's replica votes on idempotency keys.", func() float64 { return boolValue(n.claims.Votes()) })
	gauge("engines_at_target_version", "Engines of the held shards that loaded their target version.", func() float64 {
		return n.sumProgress().loaded
	})
	gauge("engines_set_aside", "Engines of the held shards that failed to load a version too often.", func() float64 {
		return n.sumProgress().setAside
	})
	gauge("members_alive", "Nodes that this node sees alive, itself included.", func() float64 {
		return float64(len(n.membership.Alive()))
	})
	gauge("members_dead", "Nodes that this node sees dead.", func() float64 { return n.membersIn(membership.StateDead) })
	gauge("members_unreachable", "Nodes that this node sees cut off with their region.", func() float64 {
		return n.membersIn(membership.StateUnreachable)
	})
}

// progressSum adds the version rollouts of the held shards up.
type progressSum struct{ loaded, setAside float64 }

func (n *Node) sumProgress() progressSum {
	var sum progressSum
	for _, progress := range n.controller.Progress() {
		sum.loaded += float64(progress.Loaded)
		sum.setAside += float64(len(progress.SetAside))
	}
	return sum
}

func (n *Node) membersIn(state membership.State) float64 {
	count := 0
	for _, member := range n.membership.Snapshot().Members {
		if member.State == state {
			count++
		}
	}
	return float64(count)
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
