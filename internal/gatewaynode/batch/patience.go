package batch

import "time"

// A step waits for its longest items alone. One that would end well before them, were it
// begun later, waits for a connection that another item gives back rather than have a new
// one opened: a step's items all at once would open as many connections as the back ends
// have slots, and use most of them for one short item.

const (
	// patientMargin is how many times its own expected length an item has to be shorter
	// than the longest one of its job that is left. Hints of length are right within a
	// factor of two for most items.
	patientMargin = 2
	// patientMost is how long after the opening of its job an item waits at most.
	patientMost = 2 * time.Second
)

// patient tells whether an item with so many events left of a job whose longest has so
// many left waits for a connection that stands. It is pure.
func patient(left, longest int, age time.Duration) bool {
	return left > 0 && patientMargin*left < longest && age < patientMost
}

// patientScore tells whether a whole text may wait with its score for a connection that
// stands: items of its job run on for some calls longer. It is pure.
func patientScore(longest int, pace, latency, waited time.Duration) bool {
	return time.Duration(longest)*pace > patientCalls*latency && waited < patientMost
}

// patientCalls is how many usual latencies of a scoring service its step has to go on for
// where a score waits for a connection: its call may have to be made again.
const patientCalls = 4

// left returns how many events an item is expected to make yet, 0 if nothing is known.
// The lock is held.
func (r *runner) left(job *ownedJob, index int) int {
	if r.lengths.hints == 0 {
		return 0
	}
	return r.expectedEvents(job, index) - len(job.items[index].text.events)
}

// longestLeft returns how many events the item of a job that is expected to go on for
// longest has left. The lock is held.
func (r *runner) longestLeft(job *ownedJob) int {
	longest := 0
	for i := range job.items {
		if phase := job.items[i].phase; phase == phaseWaiting || phase == phaseRunning {
			longest = max(longest, r.left(job, i))
		}
	}
	return longest
}
