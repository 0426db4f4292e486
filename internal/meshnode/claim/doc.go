// Package claim lets a request that must not be repeated run at most once over
// all nodes, also while the platform's table service is down.
//
// # Protocol
//
// Each idempotency key has a write-once register that is held in memory by a
// small replica group of nodes in distinct zones. The group is a pure function
// of the key and the member list (GroupFor). A claimant opens a Round under a
// fresh Token, asks every member of the group, and may dispatch the request
// only after a majority has granted the key to that token before the round's
// deadline. A replica grants a key to the first token that asks, and tells
// every later one who holds it, with the recorded answer once the holder has
// reported one. So a retry with the same key gets the same answer.
//
// A claimant that cannot win any more releases its token and never dispatches
// under it. A token is used for one round only.
//
// # Invariants
//
//   - A replica never grants a key to two tokens within Retention, which is the
//     validity of a key plus the length of a round.
//   - A token that was released is never granted afterwards (tombstones). This
//     only saves keys: a late grant to a dead token would burn the key, not
//     break the promise, since its claimant does not dispatch.
//   - A claimant dispatches at most once per token, and only while its round is
//     open: a claimant that was paused and wakes finds its deadline passed.
//   - A replica that restarted has lost what it granted, and abstains until
//     Retention has passed since its start. A node name that never ran before
//     has nothing to forget; that is proved by a row of the table service which
//     only the first incarnation can create. A replica whose row is not known
//     to exist abstains, because a later incarnation would take itself for the
//     first.
//   - A replica that stops by plan ceases to vote and hands its registers to one
//     other member (Heir). The next incarnation under its name may take them
//     back and then votes at once; no later one may.
//   - After the member list changed, a claim needs majorities of the groups of
//     both lists until the older list's grants have lapsed (Views).
//
// # What callers may rely on
//
// Granted is given to at most one claimant of a key within the key's validity.
// A caller must not use a key longer than that after it first sent it; where
// the key is a UUID that carries its time (version 7), this is checked.
//
// A claimant that dies between majority and dispatch burns the key: every later
// claimant is told that the outcome is unknown. That is safe, and it lasts until
// the key's validity has passed.
//
// Two processes must not run under one node name at the same time. Clocks need
// no agreement; they must run at about the same rate.
package claim
