// Package quarantine keeps requests that end the back ends which run them from ending
// more: after DeadlyEnds back ends have ended under one work, no node sends it on until
// that is forgotten.
//
// # Evidence
//
// A broken connection proves nothing: it also breaks by a reset, a cut or a garbled
// answer. A back end counts as ended under a request that it had not answered
//
//   - at once, if its address refuses a new connection after that to the request broke
//     (HowRefused): every request that was there is suspected;
//   - once the registry no longer holds its entry, if nothing came from it any more
//     (HowGone): it may have lost its power, so that connections are silent. If the same
//     entry comes back that is taken back.
//   - for a while, if its address gives no answer (HowSilent): this node alone acts on it,
//     until the registry decides.
//
// A back end that was leaving is no evidence. A whole answer with success acquits a work:
// what has run whole does not end whatever runs it. So harmless requests that are all
// alike are safe while back ends end for other reasons, and one that ran beside a deadly
// one is suspected of single ends only.
//
// # Who knows
//
// Evidence is a row of the store, keyed by work and end of a back end, so that writing it
// twice is writing it once; every node follows the table and counts the rows with what it saw
// itself. It holds no key, path or body of a caller. While the store cannot be written,
// evidence is told to the other nodes directly and written later.
//
// # Forgetting
//
// One end is forgotten KeepEnd after the last change of what is known of the work, then
// the next one: a work that is deadly still ends one more back end and is quarantined
// again. A success or an operator's word clears all of it.
//
// # Bounds
//
// A node remembers suspectsMost works, follows runsMost calls and keeps outboxMost rows to be
// written, firstsMost of them of works with one end. What is over these is dropped and counted
// (Book.Dropped); works with more ends go first.
package quarantine
