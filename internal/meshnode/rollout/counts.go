package rollout

// signature changes whenever something that others may wait for changed.
type signature struct {
	waiting, running, finished, voidsWanted int
	cursor, version                         int64
	stopped                                 bool
}

// signature returns the ledger's present signature.
func (l *Ledger) signature() signature {
	return signature{
		waiting:     l.waiting,
		running:     len(l.running),
		finished:    l.finished,
		voidsWanted: l.delivery.voidsWanted,
		cursor:      l.delivery.cursor,
		version:     l.version,
		stopped:     l.stopped,
	}
}

// Counts is how many indexes of a step are in which state.
type Counts struct {
	Waiting      int
	Running      int
	Finished     int
	Committed    int
	Acknowledged int
}

// Counts returns how many indexes are in which state; a sample whose manifest
// is being committed counts as finished.
func (l *Ledger) Counts() Counts {
	counts := Counts{Waiting: l.waiting, Finished: l.finished, Acknowledged: l.config.Samples - l.unacknowledged}
	for index := range l.samples {
		if l.samples[index].state == sampleRunning {
			counts.Running++
		}
	}
	total := counts.Waiting + counts.Running + counts.Finished + counts.Acknowledged
	placed := l.config.Samples - total
	committing := l.delivery.committing()
	counts.Committed = max(0, placed-committing)
	counts.Finished += placed - counts.Committed
	return counts
}
