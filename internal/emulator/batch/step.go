package batch

import (
	"slices"
	"time"
)

// advance runs the machine until now, or does nothing if now is in the past.
func (m *Machine) advance(now time.Duration) {
	for m.phase != phaseIdle && m.phaseEnd <= now {
		if m.phase == phaseLoad {
			m.finishLoad()
		} else {
			m.finishSteps(now)
		}
	}
	m.now = max(m.now, now)
}

// streamsChanged makes the machine look at its streams again at the end of the
// step, or at once if it is idle.
func (m *Machine) streamsChanged() {
	m.changed = true
	if m.phase == phaseIdle {
		m.beginPhase(m.now)
	}
}

// beginPhase chooses what to do from a boundary on.
func (m *Machine) beginPhase(at time.Duration) {
	if m.swap != nil {
		m.phase = phaseLoad
		m.phaseEnd = at + m.swap.Pause
		return
	}
	prefill := m.admit(at)
	if len(m.running) == 0 {
		m.phase = phaseIdle
		return
	}
	m.phase = phaseStep
	m.phaseEnd = at + m.stepTime() + prefill
}

func (m *Machine) finishLoad() {
	event := Event{At: m.phaseEnd, Kind: EventLoaded, Version: m.swap.Version}
	if m.swap.Failure != "" {
		event.Kind = EventLoadFailed
		event.Failure = m.swap.Failure
	} else {
		m.version = m.swap.Version
	}
	m.swap = nil
	m.emit(event)
	m.beginPhase(m.phaseEnd)
}

// finishSteps completes the step in progress and, as long as no stream comes,
// goes or ends, all the equal steps after it that are over by now.
func (m *Machine) finishSteps(now time.Duration) {
	steps := 1
	if !m.changed && m.swap == nil {
		equal := int((now - m.phaseEnd) / m.stepTime())
		steps += min(equal, m.leastRemaining()-1)
	}
	at := m.phaseEnd + time.Duration(steps-1)*m.stepTime()
	for _, s := range m.running {
		s.produce(m.version, steps)
	}
	m.totals.Tokens += int64(steps) * int64(len(m.running))
	m.removeFinished(at)
	m.beginPhase(at)
}

func (m *Machine) removeFinished(at time.Duration) {
	m.running = slices.DeleteFunc(m.running, func(s *stream) bool {
		if s.remaining > 0 {
			return false
		}
		delete(m.streams, s.request.Key)
		m.emit(Event{At: at, Kind: EventEnded, Key: s.request.Key, Reason: s.reason, Progress: s.progress()})
		return true
	})
}

// admit moves waiting streams into the batch, preempts those of lower priority
// for them, and returns the time that the prefill takes.
func (m *Machine) admit(at time.Duration) time.Duration {
	m.changed = false
	var prefill time.Duration
	for len(m.waiting) > 0 {
		if len(m.running) >= m.config.Capacity && !m.preempt(at) {
			break
		}
		prefill += m.start(at, m.waiting.take())
	}
	return prefill
}

// preempt makes room for the first waiting stream if a running one has a lower
// priority.
func (m *Machine) preempt(at time.Duration) bool {
	if len(m.running) == 0 {
		return false
	}
	last := m.running[0]
	for _, s := range m.running[1:] {
		if last.before(s) {
			last = s
		}
	}
	if last.request.Priority <= m.waiting[0].request.Priority {
		return false
	}
	m.running = slices.DeleteFunc(m.running, func(s *stream) bool { return s == last })
	last.running = false
	// Its KV cache is dropped: coming back costs a prefill of all its tokens.
	last.imported = false
	m.waiting.add(last)
	m.totals.Preemptions++
	m.emit(Event{At: at, Kind: EventPreempted, Key: last.request.Key})
	return true
}

func (m *Machine) start(at time.Duration, s *stream) time.Duration {
	s.running = true
	m.running = append(m.running, s)
	if !s.started {
		s.started = true
		m.emit(Event{At: at, Kind: EventStarted, Key: s.request.Key})
	}
	cachedTokens := m.cache.hits(s.blocks) * m.config.BlockTokens
	m.cacheBlocks(at, s.blocks)
	tokens := PromptTokens(s.request.Prompt) + s.request.Resumed + s.produced
	if s.imported {
		m.totals.CachedTokens += int64(tokens)
		return m.config.ImportTime
	}
	m.totals.CachedTokens += int64(cachedTokens)
	m.totals.PrefillTokens += int64(tokens - cachedTokens)
	return time.Duration(tokens-cachedTokens) * m.config.PrefillPerToken
}

// cacheBlocks marks the blocks as used, the prompt's beginning last: a block is
// of no use without those before it, so they are to be evicted after it.
func (m *Machine) cacheBlocks(at time.Duration, blocks []uint64) {
	// First those that are cached, lest one of them goes for another.
	for _, block := range blocks {
		m.cache.touch(block)
	}
	for _, block := range slices.Backward(blocks) {
		added, evicted, full := m.cache.insert(block)
		if full {
			m.emit(Event{At: at, Kind: EventEvicted, Block: evicted})
		}
		if added {
			m.emit(Event{At: at, Kind: EventCached, Block: block})
		}
	}
}

func (m *Machine) stepTime() time.Duration {
	return m.config.StepBase + time.Duration(len(m.running))*m.config.StepPerStream
}

// leastRemaining returns the smallest number of tokens that a running stream
// has still to produce, zero if none runs.
func (m *Machine) leastRemaining() int {
	if len(m.running) == 0 {
		return 0
	}
	least := m.running[0].remaining
	for _, s := range m.running[1:] {
		least = min(least, s.remaining)
	}
	return least
}
