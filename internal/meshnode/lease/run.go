package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
)

const (
	rowPrefix = "lease/"
	scanLimit = 200
	// batchLimit bounds the rows of one transaction.
	batchLimit = 64
	// ticksPerDuration is how often a lease's duration decisions are taken.
	ticksPerDuration = 12
	// scansPerDuration is how often a lease's duration candidates read the rows.
	scansPerDuration = 3
)

// Run acquires, renews and releases leases until ctx ends. It does not release
// them at its end: call HandOver before.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.step(ctx)
		timer := time.NewTimer(s.tick())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.wake:
		}
		timer.Stop()
	}
}

// tick is jittered, so that nodes that started together drift apart.
func (s *Service) tick() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration((0.75 + s.rng.Float64()/2) * float64(s.cfg.Duration) / ticksPerDuration)
}

// step reads the rows if that is due, and makes the writes that are due:
// releases and renewals first, each in as few transactions as possible.
func (s *Service) step(ctx context.Context) {
	s.place()
	if s.scanDue() {
		if err := s.scan(ctx); err != nil {
			s.lg.WithError(err).Debug("cannot read the leases")
		}
	}
	for _, action := range []Action{ActionRelease, ActionRenew, ActionAcquire} {
		for {
			writes := s.begin(action)
			if len(writes) == 0 || !s.commit(ctx, writes) {
				break
			}
		}
	}
}

// place computes the candidates again where shards or members changed.
func (s *Service) place() {
	alive := s.cfg.Members.Alive()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.placement.setAlive(alive) || s.unplaced {
		s.placement.setShards(time.Now(), s.shards)
		s.unplaced = false
	}
	s.forget()
}

func (s *Service) scanDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	urgent, candidate := false, false
	for shard, machine := range s.machines {
		rank := s.placement.rank(shard, s.cfg.Node)
		candidate = candidate || rank >= 0 && !machine.Holding()
		urgent = urgent || machine.NeedsRead() && (rank >= 0 || machine.Holding())
	}
	since := time.Since(s.lastScan)
	return urgent || candidate && since >= s.cfg.Duration/scansPerDuration
}

// scan reads all rows and shows them to the machines.
func (s *Service) scan(ctx context.Context) error {
	after := ""
	var revision int64
	found := map[string]Row{}
	for {
		page, err := s.scanPage(ctx, after)
		if err != nil {
			return err
		}
		for _, row := range page.Rows {
			var record Record
			if err := json.Unmarshal(row.Value, &record); err != nil {
				return errs.Errorf("lease: row %s: %v", row.Key, err)
			}
			found[row.Key] = Row{Record: record, Revision: row.Revision}
			after = row.Key
		}
		revision = max(revision, page.Revision)
		if !page.More {
			break
		}
	}
	s.observe(found, revision)
	return nil
}

func (s *Service) scanPage(ctx context.Context, after string) (api.ScanResponse, error) {
	ctx, cancel := s.operation(ctx)
	defer cancel()
	if err := s.limiter.Wait(ctx); err != nil {
		return api.ScanResponse{}, errs.Wrap(err)
	}
	return s.cfg.Table.Scan(ctx, rowPrefix, after, scanLimit)
}

// operation bounds one operation on the table, short enough for a second try
// before the holder's time runs out.
func (s *Service) operation(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.cfg.Duration/6)
}

// observe takes rows that were read. The time is taken after the read, which
// only makes observers wait longer.
func (s *Service) observe(found map[string]Row, tableRevision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableRevision = max(s.tableRevision, tableRevision)
	now := time.Now()
	s.lastScan = now
	for shard, machine := range s.machines {
		s.watch(shard, machine, func() { machine.Observe(now, found[rowPrefix+shard]) })
	}
}

// watch runs a change of a machine and tells subscribers if it gained or lost
// the lease.
func (s *Service) watch(shard string, machine *Machine, change func()) {
	before := machine.Holding()
	change()
	after := machine.Holding()
	if before == after {
		return
	}
	row, _ := machine.Row()
	s.lg.WithFields(map[string]any{"shard": shard, "holding": after, "epoch": row.Record.Epoch}).Info("lease changed")
	if after {
		s.placement.acquired(time.Now(), shard)
	} else {
		delete(s.moving, shard)
	}
	s.notify()
}

// begin returns the writes of one action that are due, at most a batch.
func (s *Service) begin(action Action) []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	early := s.anyRenewalDue(now)
	var writes []Write
	for shard, machine := range s.machines {
		want := s.want(now, shard, machine)
		want.RenewEarly = early
		decided, due := machine.Decide(now, want)
		if due && decided == action && len(writes) < batchLimit {
			writes = append(writes, machine.Begin(now, action, want, newNonce()))
		}
	}
	return writes
}

func (s *Service) anyRenewalDue(now time.Time) bool {
	for _, machine := range s.machines {
		if machine.RenewalDue(now) {
			return true
		}
	}
	return false
}

// want tells a machine what placement asks of it.
func (s *Service) want(now time.Time, shard string, machine *Machine) Want {
	want := Want{Rank: s.placement.rank(shard, s.cfg.Node), LeastEpoch: s.tableRevision}
	_, acting := machine.Held(now)
	switch {
	case s.stopping:
		want.Release = true
		want.Successor = s.placement.successor(shard, s.cfg.Node)
	case s.placement.shards[shard] == nil:
		want.Release = true
	case s.moving[shard], acting && s.placement.takeMove(now, shard, s.cfg.Node):
		s.moving[shard] = true
		want.Release = true
		want.Successor = s.placement.shards[shard].preferred()
	}
	return want
}

// commit makes the writes in one transaction and tells the machines what became
// of them. It tells whether they took effect.
func (s *Service) commit(ctx context.Context, writes []Write) bool {
	ctx, cancel := s.operation(ctx)
	defer cancel()
	if err := s.limiter.Wait(ctx); err != nil {
		s.settle(writes, (*Machine).Dropped)
		return false
	}
	response, err := s.cfg.Table.Commit(ctx, s.transaction(writes))
	s.noteTable(err)
	now := time.Now()
	var answer *api.Error
	switch {
	case err == nil:
		s.settle(writes, func(m *Machine, w Write) { m.Committed(now, w, response.Revision) })
	case errors.As(err, &answer) && answer.Code == api.CodeRateLimited:
		s.settle(writes, (*Machine).Dropped)
	default:
		s.lg.WithError(err).WithField("leases", len(writes)).Debug("lease write not settled")
		s.settle(writes, func(m *Machine, _ Write) { m.Unsettled() })
	}
	return err == nil
}

// noteTable logs when the table service stops and begins to answer. A definite
// answer of any kind is one.
func (s *Service) noteTable(err error) {
	var answer *api.Error
	silent := err != nil && !errors.As(err, &answer)
	s.mu.Lock()
	changed := silent != s.tableSilent
	s.tableSilent = silent
	s.mu.Unlock()
	switch {
	case changed && silent:
		s.lg.WithError(err).Warn("the table service does not answer; leases lapse unless it comes back")
	case changed:
		s.lg.Info("the table service answers again")
	}
}

func (s *Service) transaction(writes []Write) api.Transaction {
	transaction := api.Transaction{ID: newNonce()}
	for _, write := range writes {
		key := rowPrefix + write.Record.Shard
		value, err := json.Marshal(write.Record)
		if err != nil {
			panic(err) // a struct of strings and integers
		}
		transaction.Puts = append(transaction.Puts, api.Put{Key: key, Value: value})
		if !s.cfg.Faults.NoCondition {
			transaction.Conditions = append(transaction.Conditions, api.Condition{Key: key, Revision: write.Condition})
		}
	}
	return transaction
}

func (s *Service) settle(writes []Write, tell func(*Machine, Write)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range writes {
		shard := write.Record.Shard
		if machine := s.machines[shard]; machine != nil {
			s.watch(shard, machine, func() { tell(machine, write) })
		}
	}
}
