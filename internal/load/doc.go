// Package load holds the clients that engineers, the demo and the tests drive
// a running system with: a Trainer that posts steps and takes their samples, a
// Caller that sends live requests, a Runner that repeats a request at a given
// concurrency or rate and measures it, and Compare, which measures a node
// against calling a back end directly in one run.
//
// A client knows several nodes and goes on to the next one when a node does
// not answer or asks it to come back later. Trainer and Caller record what
// they saw as history events; these are the receiving side that the history
// checker compares with the truth of the back ends.
//
// # Trainer
//
// A trainer has one pull in flight and takes samples only from the answer to
// its latest pull. The version that its pulls name never falls. An answer whose
// epoch is lower than one seen for the step is dropped, since its sender is a
// former owner of the step. Taking the samples of an answer and moving the
// cursor past them is one decision; the acknowledgement tells the owner of it
// and may be repeated.
//
// # Caller
//
// Each sending has a request id of its own. A request that is not repeatable
// keeps its idempotency key over all its sendings, so that however many of them
// arrive, at most one runs.
package load
