package rollout

import (
	"context"
	"sync"
	"time"
)

// HandOver prepares a planned stop: no sample starts any more, running ones
// finish within Config.HandOverWait or are cancelled, what is finished is
// committed, and the leases are given up so that any node can take the steps
// over at once. Pulls are answered until then. It returns when that is done or
// ctx ends; Close is to follow.
func (s *Service) HandOver(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	var tasks sync.WaitGroup
	for _, step := range s.ownedSteps() {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			step.handOver(ctx)
		}()
	}
	tasks.Wait()
}

func (o *ownedStep) handOver(ctx context.Context) {
	o.update((*Ledger).Stop)
	o.await(ctx, time.Now().Add(o.config.HandOverWait), func() bool { return o.ledger.Running() == 0 })
	o.mu.Lock()
	o.updateLocked(func(ledger *Ledger) { ledger.CancelAll(time.Now()) })
	o.releasing = true
	o.signal()
	o.mu.Unlock()
	o.await(ctx, time.Now().Add(idleWait), func() bool { return o.ended })
}

// await waits until the condition, which is called under mu, holds, the step
// ended, the instant has come or ctx ended.
func (o *ownedStep) await(ctx context.Context, until time.Time, condition func() bool) {
	for {
		o.mu.Lock()
		met := condition() || o.ended
		changed := o.changed
		o.mu.Unlock()
		if met || !time.Now().Before(until) {
			return
		}
		timer := time.NewTimer(time.Until(until))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
