// Package lease decides which node gives orders to the back ends of a shard.
//
// # Lease
//
// Row lease/SHARD of the table service names the holder, its epoch, the
// duration and the nonce of the write that made the row. Every write is
// conditional on the row's revision, so of two nodes that acquire at once one
// wins. The epoch grows with each new holder and with nothing else, to at least
// the table's revision as of the holder's last scan; it is the fence in every
// order, and a back end refuses orders below the highest epoch it has seen. Since
// the table's revision only grows, a back end that moves between shards obeys
// whichever lease was acquired last. Rows are never deleted, also not those of dropped pools,
// because the epoch must never begin again.
//
// # Time
//
// No clock is compared with another. The holder stops acting two thirds of the
// duration after it sent its last successful write. Any other node acquires
// only after it has seen the row unchanged for the whole duration and a margin,
// by its own monotonic clock. The row changed after the write was sent and was
// seen after it changed, so the observer's wait ends after the holder stopped,
// unless their clocks differ in rate by more than half.
//
// A process that is stopped between Held and its order cannot be helped by any
// clock, nor can one whose machine's clock stood still with it. For these the
// epoch is the fence: once the next holder has given an order, the back end
// refuses the late one. Callers must check Held right before each order and put
// the epoch into it.
//
// # Lost answers
//
// A write whose answer is lost is resolved by reading the row and comparing
// nonces. Until then a renewal counts as failed, an acquisition as not made,
// and a release as done. A renewal after the holder's time ran out is still
// good, under the same epoch, if nobody wrote the row in between.
//
// # Placement
//
// Rendezvous hashing over the alive members orders the candidates of a shard,
// those in the zone of the shard's back ends first. The first is preferred. A
// holder that is not preferred releases in favour of the preferred node once
// that has been preferred without a break for a settle time, one shard per
// interval, so that a member that comes and goes moves nothing. A planned stop
// releases everything in favour of the next candidates. A row that names a
// successor is taken by it at once, by others only after the duration.
//
// While the table is down no lease is renewed: holders stop, orders wait, and
// requests go on with what the engines have loaded.
package lease
