// Package dispatch runs one request on the back ends of a pool and gives it
// exactly one final outcome.
//
// A repeatable request that breaks off is continued on another back end from
// the text received so far, within the retry budget. Every attempt has its own
// number, which is never used again, and every abandoned attempt is cancelled on
// its engine in the background.
//
// A request that is not repeatable is claimed by its idempotency key before
// anything is sent, and is sent at most once: another back end is tried only
// after a definite "nothing was sent" or the back end's own refusal. Anything
// else ends it with outcome unknown at once. Once it holds its key it goes on
// until its deadline, also without its caller, so that the next request with the
// key gets its answer.
//
// Callers may rely on the outcome:
//
//   - refused: no byte of it reached a back end, or each that it reached said
//     that it did not run it;
//   - completed: Text is whole, its segments name the versions that the
//     engines' own streams reported;
//   - failed: it ran in part and nothing more will be done about it;
//   - unknown: it may have run.
//
// Nothing waits in the node: a request that no back end can take is refused at
// once with advice when to come back.
package dispatch
