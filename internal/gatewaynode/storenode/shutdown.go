package storenode

import (
	"context"
	"net/http"
	"time"
)

// StopPlan says when the steps of a planned stop are taken, after its beginning.
type StopPlan struct {
	// HandOver bounds the handing over of work.
	HandOver time.Duration
	// Told is when callers have heard of the stop: no answer of a directory that names the node is
	// held any more.
	Told time.Duration
	// Close is when the node accepts no more connections.
	Close time.Duration
	// End is when the requests end that are still being served.
	End time.Duration
	// Exit is when the process ends at the latest.
	Exit time.Duration
}

const (
	// callerHolds is how many TTLs callers keep an address.
	callerHolds = 3
	// stopMargin is kept free at the end of the grace.
	stopMargin = time.Second
	// answerTime is for writing the answers to requests that are ended.
	answerTime = 300 * time.Millisecond
	// endingTime is kept for ending what is in flight once work is handed over.
	endingTime = 1500 * time.Millisecond
)

// NewStopPlan returns the plan of a node that is killed grace after the beginning of its stop, and
// whose address callers may keep for ttl.
func NewStopPlan(grace, ttl time.Duration) StopPlan {
	return StopPlan{
		HandOver: grace - stopMargin - endingTime,
		Told:     callerHolds * ttl,
		Close:    callerHolds*ttl + ttl/2,
		End:      grace - stopMargin,
		Exit:     grace - stopMargin + answerTime,
	}
}

// Shutdown carries out a planned stop: it hands work over, lets callers hear of the stop, and ends
// what is in flight on the servers.
func (n *Node) Shutdown(plan StopPlan, servers []*http.Server) {
	started := time.Now()
	n.forwarder.BeginStop(started.Add(plan.Told), started.Add(plan.End))
	handing, cancelHanding := context.WithDeadline(context.Background(), started.Add(plan.HandOver))
	n.Stop(handing)
	cancelHanding()
	time.Sleep(time.Until(started.Add(plan.Close)))
	ending, cancelEnding := context.WithDeadline(context.Background(), started.Add(plan.Exit))
	defer cancelEnding()
	for _, server := range servers {
		_ = server.Shutdown(ending)
	}
	n.Finish(ending)
}
