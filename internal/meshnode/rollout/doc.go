// Package rollout serves the steps of reinforcement-learning trainers: it runs
// the samples of a step, and delivers each of them to the trainer exactly once,
// with the weight versions that its segments name and never older than the
// step's version bound.
//
// # Parts
//
// Ledger is the state machine of one step: which attempts run, which sample
// holds which position, what may be handed out. It does no I/O and is given the
// time. Service owns ledgers, runs attempts through a Runner, stores what must
// last through platform.Table and platform.Objects, and answers trainers.
//
// # Protocol
//
// A step is owned by one node under a lease, kept in the table row
// "steps/<trainer>/<step>" (StepRecord). The row's epoch grows with each new
// owner; every write of the row names the revision that the owner last saw, so
// that a former owner's write is refused (the fence).
//
// Finished samples are gathered into a manifest: their bodies are written to
// the object store as one object, then the row is written with the manifest
// added. Only then do the samples have positions that a pull may see. Positions
// are consecutive over the whole step, and a committed position never changes
// its sample. A write whose answer was lost is sent again, unchanged and with
// the same transaction id and condition, until the answer is definite; where
// that answer is condition_failed, the row's transaction id tells whether it was
// the earlier sending that took effect.
//
// A pull names a cursor: the trainer has taken every position below it. The
// acknowledgement moves the row's cursor, after which the objects go. An
// acknowledgement that is not the last of its step is answered from memory: if
// it is lost with its owner, the next pull's cursor says the same again. The
// last one is answered when it is in the row, or after Config.AckWait, because
// a trainer must not idle for a store that is down.
//
// # Versions and voids
//
// A committed sample that became too old gets a void: a committed change that
// makes pulls skip its position, while its index runs again and gets a later
// one. A position that may have been handed out is voided only on the word of a
// pull whose cursor is not beyond it and whose version makes it too old: a
// trainer takes samples only from the answer to its latest pull and its version
// never falls, so it has not taken that sample and never will. After a takeover
// every committed position counts as handed out. A position that surely was not
// handed out is also voided when the trainer publishes a version.
//
// # Leases
//
// The owner renews by writing the row, with every commit and at least every
// third of the lease, and counts from before the sending. It stops handing out
// after two thirds of the lease by its own monotonic clock and starts again
// only after a write succeeded. Another node takes over when a pull or an
// acknowledgement asks it to and it has seen the row unchanged for a whole
// lease by its own clock, or when the row has no owner.
//
// # When the store is down
//
// Samples go on running and are kept in memory. Nothing new is handed out: a
// sample that was handed out and is in no manifest would be generated again by
// the next owner, at the same position or another, and be delivered twice.
// Committed positions go on being handed out until the lease lapses. Once the
// store answers, everything that waited is committed at once.
//
// # What callers may rely on
//
// A Service starts no goroutine that outlives Close. Methods are safe for
// concurrent use.
package rollout
