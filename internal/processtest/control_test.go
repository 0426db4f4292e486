package processtest

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/history"
)

// titlesShard is the lease of the engines of the pool titles.
const titlesShard = "titles/0"

// leaseHolder returns the holder of a lease as the asked node tells, once there
// is one. Its failure ends the test, so only the test's own goroutine calls it.
func (s *system) leaseHolder(ask, shard string) ownership {
	s.t.Helper()
	return s.leaseHolderBut(ask, shard, "")
}

// leaseHolderBut waits until another node than the former holder has the lease.
func (s *system) leaseHolderBut(ask, shard, former string) ownership {
	s.t.Helper()
	var holder ownership
	eventually(s.t, fmt.Sprintf("a node other than %q holds %s", former, shard), func() error {
		rows, err := s.show(ask, "SHOW leases WHERE shard = '"+shard+"'")
		if err != nil {
			return err
		}
		if len(rows) != 1 || rows[0]["holder"] == former {
			return fmt.Errorf("%v", rows)
		}
		holder.node = rows[0]["holder"]
		holder.epoch, err = strconv.ParseInt(rows[0]["epoch"], 10, 64)
		return err
	})
	return holder
}

// otherNode returns a node that is not the given one.
func otherNode(than string) string {
	for i := range nodeCount {
		if nodeName(i) != than {
			return nodeName(i)
		}
	}
	panic("a system of one node")
}

func (s *system) engineLoad(engine string) (api.LoadReport, error) {
	return s.engines().Load(s.t.Context(), s.ports.address(engine))
}

// wantEngine waits until an engine reports what the check asks for.
func (s *system) wantEngine(engine, what string, check func(report api.LoadReport) bool) {
	s.t.Helper()
	eventually(s.t, engine+" "+what, func() error {
		report, err := s.engineLoad(engine)
		if err == nil && !check(report) {
			err = fmt.Errorf("it reports %+v", report)
		}
		return err
	})
}

// enginesAt counts the engines that have loaded the version.
func (s *system) enginesAt(version int64) int {
	count := 0
	for i := range engineCount {
		if report, err := s.engineLoad(engineName(i)); err == nil && report.Version == version {
			count++
		}
	}
	return count
}

func TestLeaseHolderIsKilledDuringRolloutAndDrain(t *testing.T) {
	t.Parallel()
	s := startSystem(t, "swap-pause = 1s\n")
	s.createPools("n2", nil)
	holder := s.leaseHolder("n2", titlesShard)
	asked := otherNode(holder.node)
	trainer := s.newTrainer(s.users, asked)
	s.publish(trainer, 2)
	stopTitles := s.traffic(s.newCaller("titles", 3, asked), 10)
	eventually(t, "the version is at some engines and not at all", func() error {
		if at := s.enginesAt(2); at == 0 || at == engineCount {
			return fmt.Errorf("at %d", at)
		}
		return nil
	})
	// Paused first, so that the drain is certainly left to the successor.
	s.pause(holder.node)
	s.drain(asked, "e1")
	s.kill(holder.node)
	successor := s.leaseHolderBut(asked, titlesShard, holder.node)
	if successor.epoch <= holder.epoch {
		t.Errorf("holder %+v, successor %+v", holder, successor)
	}
	s.wantEngine("e1", "drains", func(report api.LoadReport) bool { return report.Role == api.RoleDraining })
	for i := range engineCount {
		s.wantEngine(engineName(i), "has version 2", func(report api.LoadReport) bool { return report.Version == 2 })
	}
	stopTitles()
	s.runStep(trainer, 1)
	s.judge(append(samplePromises, history.PromiseDrained, history.PromiseConfiguration)...)
}

func TestLeaseHolderWakesAfterItsLease(t *testing.T) {
	t.Parallel()
	s := startSystem(t, "")
	link := newSlowLink(t, s.ports.address("e1"))
	s.createPools("n2", map[string]string{"e1": link.address})
	stopTitles := s.traffic(s.newCaller("titles", 3, "n2"), 10)
	former := s.leaseHolder("n2", titlesShard)
	asked := otherNode(former.node)

	// The former holder's order leaves it while the lease stands, and is on its
	// way when the holder sleeps.
	held := link.holdOrderOf(former.node)
	s.drain(asked, "e1")
	held.waitArrived()
	s.pause(former.node)

	next := s.leaseHolderBut(asked, titlesShard, former.node)
	if next.epoch <= former.epoch {
		t.Errorf("holder %+v, then %+v", former, next)
	}
	s.wantEngine("e1", "drains by the new holder's order", func(report api.LoadReport) bool {
		return report.Role == api.RoleDraining && report.OrderEpoch == next.epoch
	})
	s.resumeEngine(asked, "e1")
	s.wantEngine("e1", "serves", func(report api.LoadReport) bool { return report.Role == api.RoleServing })

	if order, answer := held.deliver(); order.Epoch != former.epoch || order.Holder != former.node || answer.Code != api.CodeFenced {
		t.Errorf("the late order %+v got %+v", order, answer)
	}
	s.resume(former.node)
	// The former holder learns it: it tells the same holder as everybody.
	eventually(t, "the former holder knows the new one", func() error {
		rows, err := s.show(former.node, "SHOW leases WHERE shard = '"+titlesShard+"'")
		if err == nil && (len(rows) != 1 || rows[0]["holder"] == former.node) {
			err = fmt.Errorf("%v", rows)
		}
		return err
	})
	trainer := s.newTrainer(s.users, asked)
	s.publish(trainer, 2)
	s.runStep(trainer, 1)
	for i := range engineCount {
		s.wantEngine(engineName(i), "has version 2 by the new holder's order", func(report api.LoadReport) bool {
			return report.Version == 2 && report.Role == api.RoleServing && report.OrderEpoch >= next.epoch
		})
	}
	stopTitles()
	s.judge(append(samplePromises, history.PromiseDrained, history.PromiseConfiguration)...)
}
