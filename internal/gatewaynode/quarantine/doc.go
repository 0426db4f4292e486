// Package quarantine stops live requests that crash the backends running them from reaching
// more backends: once QuarantineThreshold backends have failed while running the same work,
// no node forwards that work until enough of the failures are forgotten.
//
// A work is what a request asks for; requests for the same work have the same
// fingerprint (package fingerprint).
//
// # Evidence
//
// A broken connection alone is no evidence: it can also result from a reset, a cancelled
// call or a malformed response. A backend counts as failed for a request that it had not
// answered
//
//   - at once, if its address refuses a new connection after the request's connection
//     broke (FailureRefused). Every request that was unanswered there is suspected.
//   - once the registry no longer lists the backend and nothing more has been received
//     from it (FailureUnregistered), as after a power loss, where connections stay silent.
//     The failure is withdrawn if the same entry reappears.
//   - provisionally, if a new connection to its address times out (FailureUnresponsive). Only
//     the observing node acts on this, until the registry confirms it or it expires.
//
// The failure of a draining backend is ignored. A complete 2xx response clears a work,
// since the work has then run to its end without harm. Common harmless requests are
// therefore not quarantined while backends fail for other reasons, and a request that ran
// beside a deadly one collects single failures only.
//
// # Requests of jobs
//
// A job that was accepted has to be completed, so its requests, the runs of items and the calls
// that score them, are never quarantined. They run for long and are sent again until they succeed,
// and thus meet several failures by chance. After many of them, Tracker.Backoff bounds the rate at
// which they are sent. Their failures still count against a live request of the same work.
// Their success clears only failures under requests of jobs, so that a live request of the
// same work stays quarantined.
//
// # Replication
//
// Each failure is a row of the store, keyed by work and failure, so that writing it twice
// has no effect. Every node follows the table and counts the rows together with its own
// observations. Rows hold no key, path or body of a caller. While the store cannot be
// written, nodes send failures to each other directly and write them later.
//
// # Expiry
//
// The oldest failure of a work is forgotten FailureTTL after the last change to the work, then
// the next one. A work that is still deadly fails one more backend and is quarantined
// again. A success, or an operator through Handler, clears all failures of a work.
//
// # Bounds
//
// A node remembers at most maxSuspects works, follows maxRuns calls and queues
// maxQueuedRows rows for writing, of which singleFailureQueueLimit may belong to works with a
// single failure. Whatever exceeds these is dropped, and Tracker.Dropped counts calls and
// rows; works with fewer failures are dropped first.
package quarantine
