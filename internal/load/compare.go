package load

import (
	"context"
	"time"
)

// Comparison sets a node against calling a back end directly, measured in the
// same run.
type Comparison struct {
	Node   Report `json:"node"`
	Direct Report `json:"direct"`
	// AddedP50MS and AddedP99MS are the node's percentiles less the direct ones.
	AddedP50MS float64 `json:"added_p50_ms"`
	AddedP99MS float64 `json:"added_p99_ms"`
	// ThroughputRatio is the node's completed requests a second over the direct
	// ones; zero where nothing completed directly.
	ThroughputRatio float64 `json:"throughput_ratio"`
}

// comparisonRounds is how often the two targets take turns, so that a change
// of the machine's speed during the run meets both.
const comparisonRounds = 10

// Compare runs cfg against both targets in turns, each for half of the
// duration in total.
func Compare(ctx context.Context, cfg RunConfig, node, direct Sender) Comparison {
	cfg.Duration /= 2 * comparisonRounds
	if cfg.Requests > 0 {
		cfg.Requests = max(cfg.Requests/(2*comparisonRounds), 1)
	}
	nodeRunner, directRunner := NewRunner(cfg, node), NewRunner(cfg, direct)
	nodeTotal, directTotal := newMeasurement(), newMeasurement()
	for round := range comparisonRounds {
		// The order alternates too: the second of a pair finds a warmer machine.
		if round%2 == 0 {
			nodeTotal.merge(nodeRunner.Run(ctx))
			directTotal.merge(directRunner.Run(ctx))
			continue
		}
		directTotal.merge(directRunner.Run(ctx))
		nodeTotal.merge(nodeRunner.Run(ctx))
	}
	return newComparison(nodeTotal.Report("node"), directTotal.Report("direct"))
}

func newComparison(node, direct Report) Comparison {
	comparison := Comparison{
		Node:       node,
		Direct:     direct,
		AddedP50MS: node.P50MS - direct.P50MS,
		AddedP99MS: node.P99MS - direct.P99MS,
	}
	if direct.PerSecond > 0 {
		comparison.ThroughputRatio = node.PerSecond / direct.PerSecond
	}
	return comparison
}

// MinimumComparison is the shortest useful duration of Compare.
const MinimumComparison = 2 * comparisonRounds * 100 * time.Millisecond
