package quarantine

const (
	// maxQueuedRows bounds the queued writes and, separately, the queued deletions. It has room
	// for a hundred works that fail three backends each.
	maxQueuedRows = 512
	// singleFailureQueueLimit is the length of the queue from which on the only failure of a
	// work is dropped. A power loss in a zone yields thousands of these, of harmless requests.
	singleFailureQueueLimit = 32
)

// rowKey is the key of the row of a failure or trial.
type rowKey string

func keyOf(failure Failure) rowKey { return rowKey(failure.Work.String() + "/" + string(failure.id())) }

// unwritten is a failure that is queued for writing.
type unwritten struct {
	failure Failure
	// told reports whether the failure was sent to other nodes directly.
	told bool
}

// outbox is the queue of changes to the store. The mutex of its Tracker guards it, except for
// wake.
type outbox struct {
	puts    map[rowKey]unwritten
	deletes map[rowKey]bool
	dropped int
	wake    chan struct{}
}

func newOutbox() outbox {
	return outbox{puts: make(map[rowKey]unwritten), deletes: make(map[rowKey]bool), wake: make(chan struct{}, 1)}
}

// put queues a failure for writing; again means that its work has other failures too.
func (o *outbox) put(failure Failure, again bool) {
	key := keyOf(failure)
	delete(o.deletes, key)
	if len(o.puts) >= maxQueuedRows || !again && len(o.puts) >= singleFailureQueueLimit {
		o.dropped++
		return
	}
	o.puts[key] = unwritten{failure: failure}
	o.signal()
}

// remove queues the deletion of a row.
func (o *outbox) remove(key rowKey) {
	delete(o.puts, key)
	if len(o.deletes) >= maxQueuedRows {
		o.dropped++
		return
	}
	o.deletes[key] = true
	o.signal()
}

// signal wakes Tracker.Run.
func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
