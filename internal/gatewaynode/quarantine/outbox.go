package quarantine

// outboxMost bounds the rows that wait to be written: what a hundred works leave behind
// that end three back ends each.
const outboxMost = 512

// outbox is what waits to be written to the store.
type outbox struct {
	puts, deletes map[rowKey]End
	dropped       int
	wake          chan struct{}
}

// rowKey names the row of an end.
type rowKey string

func keyOf(end End) rowKey { return rowKey(end.Work.String() + "/" + end.Backend) }

func newOutbox() outbox {
	return outbox{puts: make(map[rowKey]End), deletes: make(map[rowKey]End), wake: make(chan struct{}, 1)}
}

// put asks for an end to be written.
func (o *outbox) put(end End) {
	key := keyOf(end)
	delete(o.deletes, key)
	if len(o.puts) >= outboxMost {
		o.dropped++
		return
	}
	o.puts[key] = end
	o.kick()
}

// remove asks for an end to be taken away.
func (o *outbox) remove(end End) {
	key := keyOf(end)
	delete(o.puts, key)
	if len(o.deletes) >= outboxMost {
		o.dropped++
		return
	}
	o.deletes[key] = end
	o.kick()
}

func (o *outbox) kick() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
