package batch

import (
	"slices"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
)

const (
	// ErrDuplicate is returned by Submit for a key that is in the machine.
	ErrDuplicate = errs.Tag("batch: stream exists")
	// ErrQueueFull is returned by Submit when too many streams wait.
	ErrQueueFull = errs.Tag("batch: queue full")
	// ErrLoading is returned by BeginLoad while another swap is under way.
	ErrLoading = errs.Tag("batch: load in progress")
	// ErrUnknownStream is returned for a key that is not in the machine.
	ErrUnknownStream = errs.Tag("batch: unknown stream")
)

// phase says what a machine does between two boundaries.
type phase int

const (
	phaseIdle phase = iota
	phaseStep
	phaseLoad
)

// Swap is a change of weights.
type Swap struct {
	Version int64
	// Pause is the time for which the machine runs no step.
	Pause time.Duration
	// Failure, if not empty, lets the swap fail at the end of the pause.
	Failure string
}

// Machine is an engine. It is not safe for concurrent use.
type Machine struct {
	config   Config
	now      time.Duration
	phase    phase
	phaseEnd time.Duration
	version  int64
	swap     *Swap
	streams  map[Key]*stream
	running  []*stream
	waiting  waitingQueue
	// changed says that streams came or went since the current step began.
	changed  bool
	arrivals uint64
	cache    prefixCache
	events   []Event
	totals   Totals
}

// NewMachine returns an idle machine at time zero.
func NewMachine(config Config) *Machine {
	return &Machine{
		config:  config,
		version: config.Version,
		streams: map[Key]*stream{},
		cache:   newPrefixCache(config.CacheBlocks),
	}
}

// Advance runs the machine until now and returns what happened since the last
// call, in order of time.
func (m *Machine) Advance(now time.Duration) []Event {
	m.advance(now)
	events := m.events
	m.events = nil
	return events
}

// NextEventAt returns the earliest time at which a stream starts or ends or a
// swap ends, and false if nothing is under way.
func (m *Machine) NextEventAt() (time.Duration, bool) {
	return m.nextAt(m.leastRemaining())
}

// NextProgressAt returns the earlier of NextEventAt and the time at which the
// running streams have produced tokens more tokens each.
func (m *Machine) NextProgressAt(tokens int) (time.Duration, bool) {
	return m.nextAt(min(tokens, m.leastRemaining()))
}

func (m *Machine) nextAt(steps int) (time.Duration, bool) {
	if m.phase == phaseIdle {
		return 0, false
	}
	if m.phase == phaseLoad || m.changed || m.swap != nil {
		return m.phaseEnd, true
	}
	return m.phaseEnd + time.Duration(max(steps, 1)-1)*m.stepTime(), true
}

// Submit adds a stream. A stream whose resumed tokens are already the whole
// answer ends at once.
func (m *Machine) Submit(now time.Duration, request Request) error {
	m.advance(now)
	if _, exists := m.streams[request.Key]; exists {
		return ErrDuplicate.Errorf("%s attempt %d", request.Key.RequestID, request.Key.Attempt)
	}
	if m.queueFull() {
		return ErrQueueFull.Errorf("%d streams wait", len(m.waiting))
	}
	s := m.newStream(request)
	if s.remaining <= 0 {
		m.emit(Event{At: m.now, Kind: EventEnded, Key: request.Key, Reason: s.reason, Progress: s.progress()})
		return nil
	}
	m.streams[request.Key] = s
	m.waiting.add(s)
	m.streamsChanged()
	return nil
}

func (m *Machine) queueFull() bool {
	if m.config.QueueLimit <= 0 || len(m.running) < m.config.Capacity {
		return false
	}
	return len(m.waiting) >= m.config.QueueLimit
}

func (m *Machine) newStream(request Request) *stream {
	m.arrivals++
	s := &stream{
		request:    request,
		promptHash: PromptHash(request.Prompt),
		blocks:     PrefixBlocks(request.Prompt, m.config.BlockTokens),
		arrival:    m.arrivals,
		reason:     api.FinishStop,
		imported:   request.Imported,
	}
	total := m.config.Lengths.Length(s.promptHash, request.Key.RequestID)
	if request.MaxTokens > 0 && total > request.MaxTokens {
		total = request.MaxTokens
		s.reason = api.FinishLength
	}
	s.remaining = total - request.Resumed
	return s
}

// Cancel ends a stream and returns what it produced. The step in progress
// counts for nothing in it.
func (m *Machine) Cancel(now time.Duration, key Key) (Progress, error) {
	m.advance(now)
	s, exists := m.streams[key]
	if !exists {
		return Progress{}, ErrUnknownStream.Errorf("%s attempt %d", key.RequestID, key.Attempt)
	}
	delete(m.streams, key)
	if s.running {
		m.running = slices.DeleteFunc(m.running, func(other *stream) bool { return other == s })
	} else {
		m.waiting.remove(s)
	}
	m.streamsChanged()
	return s.progress(), nil
}

// Export ends a stream like Cancel; a Request elsewhere may resume from what
// it produced.
func (m *Machine) Export(now time.Duration, key Key) (Progress, error) {
	return m.Cancel(now, key)
}

// Progress returns what a stream has produced so far. The call does not
// advance the machine.
func (m *Machine) Progress(key Key) (Progress, error) {
	s, exists := m.streams[key]
	if !exists {
		return Progress{}, ErrUnknownStream.Errorf("%s attempt %d", key.RequestID, key.Attempt)
	}
	return s.progress(), nil
}

// Produced returns the number of tokens that a stream has produced so far, and
// false if it is not in the machine. It allocates nothing.
func (m *Machine) Produced(key Key) (int, bool) {
	s, exists := m.streams[key]
	if !exists {
		return 0, false
	}
	return s.produced, true
}

// BeginLoad swaps the weights once the step in progress is over.
func (m *Machine) BeginLoad(now time.Duration, swap Swap) error {
	m.advance(now)
	if m.swap != nil {
		return ErrLoading.Errorf("version %d", m.swap.Version)
	}
	m.swap = &swap
	if m.phase == phaseIdle {
		m.beginPhase(m.now)
	}
	return nil
}

// Load returns the machine's state as of the last call that took a time.
func (m *Machine) Load() Load {
	load := Load{
		Running:   len(m.running),
		Waiting:   len(m.waiting),
		Capacity:  m.config.Capacity,
		Version:   m.version,
		CacheUsed: len(m.cache.items),
		CacheSize: m.cache.size,
	}
	if m.swap != nil {
		load.Loading = m.swap.Version
	}
	return load
}

// Totals returns sums since the machine's start.
func (m *Machine) Totals() Totals { return m.totals }

func (m *Machine) emit(event Event) { m.events = append(m.events, event) }
