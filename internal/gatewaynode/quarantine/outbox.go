package quarantine

const (
	// outboxMost bounds the queued writes and, separately, the queued deletions. It has room
	// for a hundred works that fail three back ends each.
	outboxMost = 512
	// firstsMost is the length of the queue from which on the only failure of a work is dropped.
	// A power loss in a zone yields thousands of these, of harmless requests.
	firstsMost = 32
)

// rowKey is the key of the row of a failure or trial.
type rowKey string

func keyOf(end Failure) rowKey { return rowKey(end.Work.String() + "/" + string(end.id())) }

// unwritten is a failure that is queued for writing.
type unwritten struct {
	end Failure
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
func (o *outbox) put(end Failure, again bool) {
	key := keyOf(end)
	delete(o.deletes, key)
	if len(o.puts) >= outboxMost || !again && len(o.puts) >= firstsMost {
		o.dropped++
		return
	}
	o.puts[key] = unwritten{end: end}
	o.kick()
}

// remove queues the deletion of a row.
func (o *outbox) remove(key rowKey) {
	delete(o.puts, key)
	if len(o.deletes) >= outboxMost {
		o.dropped++
		return
	}
	o.deletes[key] = true
	o.kick()
}

// kick wakes Tracker.Run.
func (o *outbox) kick() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
