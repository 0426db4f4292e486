// Package control is the loop of a node that holds control leases: it reads the
// back ends of each shard that it holds, and sends them the fenced orders that
// packages weights and drain decide.
//
// A pool's back ends are divided into a fixed number of shards, each with a
// lease of its own, so that control spreads over the nodes and costs each about
// the same. A back end stays in its shard for as long as the pool's shard count
// stays. Every order carries the epoch of the shard's lease, checked immediately
// before it is sent; the back end refuses an order below the highest epoch that
// it has seen. So a holder that was paused past its lease harms nothing, even if
// its check passed just before the pause.
//
// A shard in which an order or a load is under way is read in every round. One
// that is settled is read less often the more back ends this node holds, and at
// once after a change of the configuration or of the machine list.
//
// The loop holds no state that a new holder would miss: it starts from the back
// ends' reports.
package control
