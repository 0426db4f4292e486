// Package configlog keeps the configuration of a sliplift cluster: pools, drain
// orders, published and pinned weight versions, and settings. It decides what a
// change does (Apply, a pure function), commits changes to an append-only log
// in the platform's table service (Store), and spreads them to every node
// (Service).
//
// # Log
//
// Row config/log/R holds the change that made revision R, with the change's
// id. It is written in one transaction under two conditions: row R does not
// exist, and row R-1 is the row that the writer read. Old rows are deleted from
// the oldest on and the newest is never deleted, so row R-1 being there and row
// R not being there prove that R-1 is the newest revision. Hence of two racing
// writers exactly one gets R, and a writer that lags behind a compaction cannot
// write a revision a second time. The loser reads what beat it. It tries again
// on top of it, unless the change named the revision that it was meant for
// (IfRevision) or no longer applies; then the answer is a conflict that names
// the revision that won.
//
// An answer that is lost after the write took effect is resolved by reading:
// the row of the revision holds this change's id, or another's, or is missing.
// While it is missing the write may still be under way, so the same write is
// sent again: at most one of the two can succeed. Only when the time runs out
// with the table unreachable is the outcome unknown, and Lookup asks again by
// id. An id that is submitted twice is accepted once, as long as it is among
// the last recentLimit accepted changes.
//
// # Spread
//
// A node applies entries in order and never a lower revision than it has. A few
// nodes (ReadersPerRegion in each region, by rendezvous hashing over the alive
// members) poll the table. Whoever learns of new entries pushes them once to
// PushFanout random members, which do the same; a push is one-way and may be
// lost. What pushes miss is found through the revisions that nodes exchange in
// heartbeats (OnPeerRevision) and pulled from the peer that has it.
//
// # Start
//
// A node that starts knows nothing. It is not ready, and must not serve, before
// it has read the table, or, while the table is down, before a majority of the
// other known members that are themselves ready have told their revisions and
// it has pulled the highest of them. Nodes that are not ready do not count as
// answers. A revision that every member, or any majority of them, had applied
// is therefore applied by a restarted node before it serves: its majority of
// the others and the surviving part of that majority have a node in common.
// The guarantee is for one restart at a time; where several nodes lose their
// memory at once while the table is down, a revision that was confirmed by all
// survives as long as one ready node answers, and one that was accepted but not
// yet in force may be applied later than by others, but it is never undone:
// the table holds it, and no node goes back.
//
// # In force
//
// A revision is in force when every known member has confirmed, to the node
// that asks, that it applied it. InForce asks on demand and names the members
// that have not. See docs/design/configuration.md for why there is no
// activation moment.
package configlog
