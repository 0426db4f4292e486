// Package experiment compares ways to route and schedule requests in virtual
// time.
//
// A Run plays a scenario (settings.Experiment) as a discrete-event simulation:
// one goroutine takes events from a heap in order of time. The decisions are
// those of the product: routing.Choose with its policies, rollout.Ledger and
// the planners beside it, weights.Rollout and limits.RetryBudget. The engines
// are batch.Machine values, the same that the emulator serves over HTTP. What
// is modelled here is the rest: network latencies, lagging load reports, the
// trainers, the callers, the commit of manifests, and faults.
//
// Invariants:
//   - A result is a function of the scenario, the policy and the seed.
//   - Lengths of samples and arrivals of live requests depend on the seed only,
//     so that policies of one seed meet the same work.
//   - The length of a sample belongs to its index. Another attempt at the same
//     index is as long: no policy gains by drawing shorter answers, which would
//     also bias what the trainer learns from.
//
// # Lower bound
//
// LowerBound is what a clairvoyant scheduler could not beat for the sum of the
// trainers' idle times; see its comment.
package experiment
