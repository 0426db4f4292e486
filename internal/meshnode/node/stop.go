package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/history"
)

// stopFlag says whether a planned stop has begun.
type stopFlag struct{ flag atomic.Bool }

func (s *stopFlag) begin() bool { return s.flag.CompareAndSwap(false, true) }
func (s *stopFlag) begun() bool { return s.flag.Load() }

// Stop is the planned stop. It refuses new work at once, lets what is in flight
// end, hands steps, claims and leases over, tells the other nodes and closes the
// node. Work that is still in flight when ctx ends is cut off and counted.
func (n *Node) Stop(ctx context.Context) {
	if !n.stop.begin() {
		return
	}
	n.record(history.Event{Kind: history.KindStopBegan})
	n.log.WithField("in_flight", n.gateway.InFlight()).Info("planned stop began")
	if n.cfg.Faults.CutOnStop {
		n.endStop()
		return
	}
	n.gateway.BeginStop()
	n.handOver(ctx)
	n.handOverClaims(ctx)
	n.answerOperators(ctx)
	n.leave(ctx)
	n.endStop()
}

// farewellTimeout bounds each of the last messages to the other nodes, and the
// last answers to operators. They are sent also where the work in flight used up
// the time of the stop: without them the others wait for a node that is gone,
// and its restart takes no part in claims.
const farewellTimeout = 5 * time.Second

func (n *Node) handOverClaims(ctx context.Context) {
	farewell, cancel := context.WithTimeout(context.WithoutCancel(ctx), farewellTimeout)
	defer cancel()
	if !n.claims.HandOver(farewell) {
		n.log.Warn("claims were not handed over; a restart of this node abstains")
	}
}

// answerOperators ends waits for changes to be in force, and lets every statement
// under way have its answer: a connection that breaks leaves open whether a change
// was made.
func (n *Node) answerOperators(ctx context.Context) {
	farewell, cancel := context.WithTimeout(context.WithoutCancel(ctx), farewellTimeout)
	defer cancel()
	if err := n.operator.Shutdown(farewell); err != nil {
		n.log.WithError(err).Warn("operators' statements are cut off")
	}
}

func (n *Node) leave(ctx context.Context) {
	farewell, cancel := context.WithTimeout(context.WithoutCancel(ctx), farewellTimeout)
	defer cancel()
	if err := n.membership.Leave(farewell); err != nil && !isContextError(err) {
		n.log.WithError(err).Warn("the other nodes were not told")
	}
}

// handOver gives up steps and leases while what is in flight ends; each of the
// three may have to wait, and none needs another.
func (n *Node) handOver(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { n.rollouts.HandOver(ctx) })
	tasks.Go(func() { n.handOverLeases(ctx) })
	tasks.Go(func() {
		if err := n.gateway.Wait(ctx); err != nil {
			n.log.WithError(err).Warn("requests are cut off")
		}
	})
	tasks.Wait()
}

// handOverLeases waits no longer than a lease lasts: one that could not be given
// up by then, because the platform's store is down, has lapsed.
func (n *Node) handOverLeases(ctx context.Context) {
	lasting, cancel := context.WithTimeout(ctx, n.cfg.Settings.LeaseDuration)
	defer cancel()
	if err := n.leases.HandOver(lasting); err != nil {
		n.log.WithError(err).Warn("leases were not handed over; they lapse")
	}
}

func (n *Node) endStop() {
	cut := n.gateway.InFlight()
	n.close()
	n.record(history.Event{Kind: history.KindStopEnded, Cut: cut})
	n.log.WithField("cut", cut).Info("node stopped")
}

// Kill ends the node without telling anybody, as a crash does.
func (n *Node) Kill() {
	n.stop.begin()
	n.close()
}

// close ends every loop and port. It is safe to call in any state.
func (n *Node) close() {
	n.cancelRun()
	n.gateway.Close()
	n.operator.Close()
	n.rollouts.Close()
	n.dispatcher.Close()
	n.backends.Close()
	n.claims.Close()
	n.membership.Close()
	n.transport.Close()
	n.httpTransport.CloseIdleConnections()
	n.running.Wait()
}
