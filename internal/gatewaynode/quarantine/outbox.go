package quarantine

const (
	// outboxMost bounds the rows that wait to be written: what a hundred works leave behind
	// that end three back ends each.
	outboxMost = 512
	// firstsMost bounds those of works under which one back end has ended: where a zone
	// loses its power, thousands of harmless requests are among them.
	firstsMost = 32
)

// rowKey is the key of a row.
type rowKey string

func keyOf(end End) rowKey { return rowKey(end.Work.String() + "/" + string(end.id())) }

// unwritten is an end that waits to be written; told tells that other nodes were told of it
// directly.
type unwritten struct {
	end  End
	told bool
}

// outbox is what waits to be written to the store.
type outbox struct {
	puts    map[rowKey]unwritten
	deletes map[rowKey]bool
	dropped int
	wake    chan struct{}
}

func newOutbox() outbox {
	return outbox{puts: make(map[rowKey]unwritten), deletes: make(map[rowKey]bool), wake: make(chan struct{}, 1)}
}

// put asks for an end to be written; again tells that it is not the first of its work.
func (o *outbox) put(end End, again bool) {
	key := keyOf(end)
	delete(o.deletes, key)
	if len(o.puts) >= outboxMost || !again && len(o.puts) >= firstsMost {
		o.dropped++
		return
	}
	o.puts[key] = unwritten{end: end}
	o.kick()
}

// remove asks for a row to be taken away.
func (o *outbox) remove(key rowKey) {
	delete(o.puts, key)
	if len(o.deletes) >= outboxMost {
		o.dropped++
		return
	}
	o.deletes[key] = true
	o.kick()
}

func (o *outbox) kick() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
