package upstream

import (
	"hash/maphash"
	"slices"
)

// maxCarried is the number of calls that a connection carries before it is closed. It bounds the
// ids that are remembered of it to 8 kB.
const maxCarried = 1024

// idSeed is the seed of the hashes in carried.
var idSeed = maphash.MakeSeed()

// carried remembers the ids of the calls that a connection has carried, as hashes. A backend may
// answer a call once more, at any time later. The id tells such an answer from that of another
// call, but not from that of a later call with the same id: a further run of an item, a second
// attempt, or any call without an id. No connection therefore carries an id twice, except for
// polls.
type carried []uint64

// add records the id of a call that is about to be sent.
func (c *carried) add(id string) { *c = append(*c, maphash.String(idSeed, id)) }

// has reports whether a call with the id was sent.
func (c carried) has(id string) bool { return slices.Contains(c, maphash.String(idSeed, id)) }

// full reports whether the connection may carry no further call.
func (c carried) full() bool { return len(c) >= maxCarried }
