package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/batch"
)

// engine is a batch.Machine on the network.
type engine struct {
	sim     *simulation
	index   int
	name    string
	zone    int
	machine *batch.Machine
	clock   engineClock
	// wakeup numbers the event that is to wake the engine; older ones are void.
	wakeup  int
	down    bool
	streams map[batch.Key]*stream
	report  batch.Load
	// reportAt is when the report was refreshed.
	reportAt time.Duration
	// fetching is the version that is being fetched, which does not pause the
	// engine.
	fetching int64
}

// stream is one sending of a request to one engine.
type stream struct {
	key     batch.Key
	request *request
	engine  *engine
	router  *router
	// released says that the router counts it no more.
	released bool
	sentAt   time.Duration
}

// blockTokens is the size of a prefix block.
const blockTokens = 16

// unboundedTokens makes the machine's own lengths irrelevant: each request's
// MaxTokens is its length.
const unboundedTokens = 1e9

func (s *simulation) newEngine(index int) *engine {
	e := &engine{
		sim:     s,
		index:   index,
		name:    engineName(index),
		zone:    index % s.scenario.Zones,
		clock:   engineClock{factor: 1},
		streams: map[batch.Key]*stream{},
	}
	e.machine = batch.NewMachine(s.machineConfig(firstVersion))
	e.report = e.loadNow()
	return e
}

func (s *simulation) machineConfig(version int64) batch.Config {
	pool := s.scenario.ExperimentPool
	return batch.Config{
		Capacity:        pool.Capacity,
		QueueLimit:      pool.EngineQueue,
		StepBase:        pool.BatchStepBase,
		StepPerStream:   pool.BatchPerStream,
		PrefillPerToken: pool.BatchPrefill,
		ImportTime:      pool.ImportTime,
		CacheBlocks:     pool.PrefixBlocks,
		BlockTokens:     blockTokens,
		Version:         version,
		Lengths:         batch.LengthModel{MedianTokens: unboundedTokens},
	}
}

func (e *engine) localNow() time.Duration { return e.clock.local(e.sim.now) }

// advance runs the machine until now and passes on what happened.
func (e *engine) advance() {
	e.wakeup++
	if e.down {
		return
	}
	for _, happened := range e.machine.Advance(e.localNow()) {
		e.handle(&happened)
	}
	next, busy := e.machine.NextEventAt()
	if !busy {
		return
	}
	wakeup := e.wakeup
	e.sim.at(e.clock.global(next), func() {
		if e.wakeup == wakeup {
			e.advance()
		}
	})
}

func (e *engine) handle(happened *batch.Event) {
	s := e.streams[happened.Key]
	switch happened.Kind {
	case batch.EventStarted:
		version := e.machine.Load().Version
		e.reply(s, func() { s.router.started(s, version) })
	case batch.EventEnded:
		delete(e.streams, s.key)
		progress, load := happened.Progress, e.loadNow()
		e.reply(s, func() { s.router.ended(s, progress, load) })
	case batch.EventLoaded, batch.EventLoadFailed:
		e.fetching = 0
	}
}

// reply brings an answer to the stream's router, unless the network is cut; then
// the router finds out by itself.
func (e *engine) reply(s *stream, fn func()) {
	if e.sim.cut(e.zone, s.router.zone) {
		return
	}
	e.sim.after(e.sim.latency(e.zone, s.router.zone), fn)
}

// accept takes a stream that arrives over the network.
func (e *engine) accept(s *stream) {
	if e.down {
		e.reply(s, func() { s.router.broken(s, batch.Progress{}) })
		return
	}
	if s.released {
		return
	}
	if e.full() {
		e.reply(s, func() { s.router.refused(s) })
		return
	}
	r := s.request
	err := e.machine.Submit(e.localNow(), batch.Request{
		Key: s.key, Priority: r.priority, Prompt: r.prompt, MaxTokens: r.length, Resumed: r.resumed, Imported: r.imported,
	})
	if err != nil {
		e.reply(s, func() { s.router.refused(s) })
		return
	}
	e.streams[s.key] = s
	if e.sim.cut(e.zone, s.router.zone) {
		e.goSilent(s)
	}
	e.advance()
}

// full tells whether batch and queue are full. The machine itself counts only
// streams of the step in progress, which a burst between two steps passes by.
func (e *engine) full() bool {
	load := e.machine.Load()
	limit := e.sim.scenario.EngineQueue
	return limit > 0 && load.Running+load.Waiting >= load.Capacity+limit
}

// cancel ends a stream whose result nobody wants.
func (e *engine) cancel(s *stream) {
	if progress, ok := e.export(s); ok {
		e.sim.stats.WastedTokens += int64(progress.Tokens)
	}
}

// export ends a stream and returns what it produced; false if it had ended.
func (e *engine) export(s *stream) (batch.Progress, bool) {
	if e.down || e.streams[s.key] != s {
		return batch.Progress{}, false
	}
	e.advance()
	if e.streams[s.key] != s {
		return batch.Progress{}, false
	}
	progress, err := e.machine.Export(e.localNow(), s.key)
	delete(e.streams, s.key)
	e.advance()
	return progress, err == nil
}

// produced returns the tokens that a stream has produced here so far.
func (e *engine) produced(s *stream) int {
	e.advance()
	tokens, _ := e.machine.Produced(s.key)
	return tokens
}

// currentReport returns the load report that a poll finds now.
func (e *engine) currentReport() batch.Load {
	if e.sim.now-e.reportAt >= e.sim.scenario.ReportLag || e.reportAt == 0 {
		e.advance()
		e.report = e.loadNow()
		e.reportAt = e.sim.now
	}
	return e.report
}

func (e *engine) loadNow() batch.Load {
	report := e.machine.Load()
	if e.fetching != 0 {
		report.Loading = e.fetching
	}
	return report
}

// load fetches a version and then swaps to it.
func (e *engine) load(version int64) {
	if e.down || e.fetching != 0 {
		return
	}
	e.fetching = version
	machine := e.machine
	e.sim.after(e.sim.scenario.WeightPull, func() {
		if e.machine != machine || e.down {
			return
		}
		_ = machine.BeginLoad(e.localNow(), batch.Swap{Version: version, Pause: e.sim.scenario.WeightPause})
		e.advance()
	})
}

// crash ends the engine with all that it runs.
func (e *engine) crash() {
	e.advance()
	e.down = true
	e.wakeup++
	e.fetching = 0
	for _, s := range e.sortedStreams() {
		progress, _ := e.machine.Progress(s.key)
		e.reply(s, func() { s.router.broken(s, progress) })
	}
	clear(e.streams)
}

// restart begins anew with the version that the pool had last.
func (e *engine) restart() {
	e.down = false
	e.clock = engineClock{since: e.sim.now, factor: e.clock.factor}
	e.machine = batch.NewMachine(e.sim.machineConfig(e.sim.version))
	e.report = e.loadNow()
}

func (e *engine) sortedStreams() []*stream {
	streams := make([]*stream, 0, len(e.streams))
	for _, s := range e.streams {
		streams = append(streams, s)
	}
	slices.SortFunc(streams, func(a, b *stream) int { return cmp.Compare(a.key.Attempt, b.key.Attempt) })
	return streams
}

// segmentsOf returns the segments of a stream's progress as samples name them.
func segmentsOf(progress batch.Progress, engine string) []api.Segment {
	segments := make([]api.Segment, len(progress.Segments))
	for i, segment := range progress.Segments {
		segments[i] = api.Segment{Version: segment.Version, Tokens: segment.Tokens, Engine: engine}
	}
	return segments
}

// setFactor makes the engine slower by the factor.
func (e *engine) setFactor(factor float64) {
	e.advance()
	e.clock.setFactor(e.sim.now, factor)
	e.advance()
}

// goSilent is what happens to a stream across a cut: the router goes on with
// what it had received, and the engine ends the stream.
func (e *engine) goSilent(s *stream) {
	progress, _ := e.machine.Progress(s.key)
	e.sim.after(silentAfter, func() {
		s.router.broken(s, progress)
		e.cancel(s)
	})
}
