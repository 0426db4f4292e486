package lease

import (
	"time"
)

// Record is the value of a shard's row. Holder is empty where the lease was
// released.
type Record struct {
	Shard      string `json:"shard"`
	Holder     string `json:"holder,omitempty"`
	Epoch      int64  `json:"epoch"`
	DurationMS int64  `json:"duration_ms"`
	// Nonce is unique to the write that made this row.
	Nonce string `json:"nonce"`
	// Successor names the node in whose favour the lease was released.
	Successor string `json:"successor,omitempty"`
}

// Row is a record as it was read, with the row's table revision. Revision zero
// means that there is no row.
type Row struct {
	Record   Record
	Revision int64
}

// Timing holds the durations of the protocol.
type Timing struct {
	// Duration is how long others wait before they take over.
	Duration time.Duration
	// Margin is what others wait beyond the duration.
	Margin time.Duration
	// Stagger is what each further candidate waits beyond the one before.
	Stagger time.Duration
}

// NewTiming returns the timing for a lease duration.
func NewTiming(duration time.Duration) Timing {
	return Timing{Duration: duration, Margin: duration / 10, Stagger: duration / 4}
}

// actFor is how long the holder acts after it sent a write.
func actFor(duration time.Duration) time.Duration { return duration * 2 / 3 }

// renewAfter is the age at which a renewal is due; early renewals, which join
// those of other shards, happen from half of it on.
func (t Timing) renewAfter(early bool) time.Duration {
	if early {
		return t.Duration / 6
	}
	return t.Duration / 3
}

// Faults switches mechanisms off, so that tests can show that a check fails
// without them. The zero value leaves all on.
type Faults struct {
	// IgnoreClock lets a holder act until it reads that it lost the lease.
	IgnoreClock bool
	// NoCondition writes rows without conditions.
	NoCondition bool
	// TakeOverAtOnce lets candidates acquire without waiting.
	TakeOverAtOnce bool
}

// Want is what placement asks of a shard's machine.
type Want struct {
	// Rank is this node's place among the candidates, zero for the preferred
	// one; negative where it is none and must not acquire.
	Rank int
	// Release asks to give the lease up, in favour of Successor if it is set.
	Release   bool
	Successor string
	// RenewEarly asks for a renewal before it is due.
	RenewEarly bool
	// LeastEpoch is the lowest epoch that a new holder may take. The table's
	// revision serves as such: a back end that moves from one shard to another
	// then sees a higher epoch from any lease acquired later, whichever shard's.
	LeastEpoch int64
}

// Action says what a Write does.
type Action string

// Actions of a machine.
const (
	ActionAcquire Action = "acquire"
	ActionRenew   Action = "renew"
	ActionRelease Action = "release"
)

// Write is a conditional write of a shard's row. Condition is the revision that
// the row must have; zero means that it must not exist.
type Write struct {
	Action    Action
	Record    Record
	Condition int64
}

// Machine is the state of one shard's lease as one process sees it. It is a
// plain value machine: calls tell it the time, what was read and what became of
// its writes. It is not safe for concurrent use.
type Machine struct {
	shard  string
	self   string
	timing Timing
	faults Faults

	seen  bool
	row   Row
	since time.Time
	hold  *hold
	// releasing is set from the decision to release until the row shows it.
	releasing bool
	// outstanding are the writes on the present row whose effect is not known.
	outstanding []sentWrite
	needsRead   bool
}

type hold struct {
	epoch int64
	// sentAt is when the last successful write was sent.
	sentAt time.Time
}

type sentWrite struct {
	write  Write
	sentAt time.Time
}

// NewMachine returns a machine that knows nothing of the shard's row. The name
// self must not be in use by another process; a process that restarts under the
// same name treats its earlier lease like any other's.
func NewMachine(shard, self string, timing Timing, faults Faults) *Machine {
	return &Machine{shard: shard, self: self, timing: timing, faults: faults, needsRead: true}
}

// Held returns the epoch under which this process may act at now.
func (m *Machine) Held(now time.Time) (int64, bool) {
	if m.hold == nil || m.releasing {
		return 0, false
	}
	if now.Sub(m.hold.sentAt) >= actFor(m.timing.Duration) && !m.faults.IgnoreClock {
		return 0, false
	}
	return m.hold.epoch, true
}

// Holding tells whether the row was this process's when last seen, lapsed or
// not.
func (m *Machine) Holding() bool { return m.hold != nil }

// Row returns the row as last seen, and since when it has been unchanged.
func (m *Machine) Row() (Row, time.Time) { return m.row, m.since }

// NeedsRead tells whether the machine can decide nothing before it has read.
func (m *Machine) NeedsRead() bool { return m.needsRead }

// Observe takes a row that was read, or written by this process. Reads that
// were overtaken by later ones change nothing.
func (m *Machine) Observe(now time.Time, row Row) {
	if m.seen && row.Revision < m.row.Revision {
		return
	}
	m.needsRead = false
	if m.seen && row.Revision == m.row.Revision {
		return
	}
	own := m.findWrite(row.Record.Nonce)
	// All writes were conditional on the former row: none can succeed any more.
	m.outstanding = nil
	m.seen, m.row, m.since = true, row, now
	m.take(own)
}

// take draws the consequences of a new row, made by the write own of this
// process or, where that is nil, by another.
func (m *Machine) take(own *sentWrite) {
	if own == nil || own.write.Action == ActionRelease {
		m.hold = nil
		m.releasing = false
		return
	}
	m.hold = &hold{epoch: own.write.Record.Epoch, sentAt: own.sentAt}
}

func (m *Machine) findWrite(nonce string) *sentWrite {
	for i := range m.outstanding {
		if m.outstanding[i].write.Record.Nonce == nonce {
			return &m.outstanding[i]
		}
	}
	return nil
}

// Decide returns the action that is due at now, if any. It changes nothing.
func (m *Machine) Decide(now time.Time, want Want) (Action, bool) {
	switch {
	case m.needsRead:
		return "", false
	case m.hold == nil:
		return ActionAcquire, want.Rank >= 0 && !want.Release && !now.Before(m.availableAt(want.Rank))
	case want.Release || m.releasing:
		return ActionRelease, true
	default:
		return ActionRenew, now.Sub(m.hold.sentAt) >= m.timing.renewAfter(want.RenewEarly)
	}
}

// Begin returns the write for an action that Decide named. From here on the
// holder no longer acts if it releases. The caller sends the write and tells
// what became of it through Committed, Unsettled or Dropped. The nonce must be
// unique.
func (m *Machine) Begin(now time.Time, action Action, want Want, nonce string) Write {
	if action == ActionRelease {
		m.releasing = true
	}
	write := Write{Action: action, Condition: m.row.Revision, Record: m.record(action, want, nonce)}
	m.outstanding = append(m.outstanding, sentWrite{write: write, sentAt: now})
	return write
}

func (m *Machine) record(action Action, want Want, nonce string) Record {
	record := Record{
		Shard: m.shard, Holder: m.self, Epoch: m.row.Record.Epoch,
		DurationMS: m.timing.Duration.Milliseconds(), Nonce: nonce,
	}
	switch action {
	case ActionAcquire:
		record.Epoch = max(record.Epoch+1, want.LeastEpoch)
	case ActionRelease:
		record.Holder = ""
		record.Successor = want.Successor
	}
	return record
}

// availableAt returns the moment from which a candidate of that rank may
// acquire the lease that another has, had or released.
func (m *Machine) availableAt(rank int) time.Time {
	turn := m.since.Add(time.Duration(rank) * m.timing.Stagger)
	record := m.row.Record
	switch {
	case m.faults.TakeOverAtOnce, record.Holder == "" && record.Successor == m.self:
		return m.since
	case record.Holder == "" && record.Successor == "": // released, or no row yet
		return turn
	}
	return turn.Add(time.Duration(record.DurationMS)*time.Millisecond + m.timing.Margin)
}

// RenewalDue tells whether a renewal is due at now.
func (m *Machine) RenewalDue(now time.Time) bool {
	return m.hold != nil && !m.releasing && !m.needsRead && now.Sub(m.hold.sentAt) >= m.timing.renewAfter(false)
}

// Committed tells that a write took effect as the row's new revision.
func (m *Machine) Committed(now time.Time, write Write, revision int64) {
	m.Observe(now, Row{Record: write.Record, Revision: revision})
}

// Unsettled tells that a write failed its condition or got no answer. In either
// case it, or an earlier one, may have taken effect: the row must be read.
func (m *Machine) Unsettled() { m.needsRead = true }

// Dropped tells that a write was certainly not made.
func (m *Machine) Dropped(write Write) {
	for i, sent := range m.outstanding {
		if sent.write.Record.Nonce == write.Record.Nonce {
			m.outstanding = append(m.outstanding[:i:i], m.outstanding[i+1:]...)
			return
		}
	}
}
