package configspread

import (
	"fmt"
	"strings"
)

// losses are the shares of messages that get lost, lossOfCut the one in which
// cuts are modelled, sizes the numbers of nodes.
var (
	losses    = []float64{0, 0.01, 0.1}
	lossOfCut = losses[1:2]
	sizes     = []int{10, 30, 100, 330}
)

// Confirmation tells how long a change takes to be applied by all and, unless
// nobody asks, until that is known at the node that accepted it.
func Confirmation(fanout int, nobodyAsks bool) string {
	return tabulate(losses, func(nodes int, loss float64) string {
		return confirmationRow(nodes, loss, fanout, !nobodyAsks)
	})
}

// Freshness tells the smallest delay of an activation rule that stops no node
// while nothing is broken.
func Freshness() string { return tabulate(losses, freshnessRow) }

// RegionCut tells how long that rule stops nodes when a region is cut off.
func RegionCut() string {
	return tabulate(lossOfCut, func(nodes int, loss float64) string { return stoppedRow(nodes, loss, cutRegion) })
}

// TableDown tells how long it stops nodes when the table service is down.
func TableDown() string {
	return tabulate(lossOfCut, func(nodes int, loss float64) string { return stoppedRow(nodes, loss, cutTable) })
}

func tabulate(losses []float64, row func(nodes int, loss float64) string) string {
	var text strings.Builder
	for _, nodes := range sizes {
		for _, loss := range losses {
			fmt.Fprintf(&text, "nodes=%-3d loss=%-4v %s\n", nodes, loss, row(nodes, loss))
		}
	}
	return text.String()
}
