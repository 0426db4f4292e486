// Package migrate moves the work of a pool from the back ends of one site to
// those of another, in waves.
//
// The planner is pure: Plan works out all waves with their expected effect from
// a Snapshot, and NextStep what to do now. Both take the same decisions, so that
// a run does what the plan said as long as the engines' reports stay as they
// were.
//
// A Runner reads snapshots through a node's operator port and carries the steps
// out with the operators' language. It keeps nothing: each step follows from
// what SHOW tells, so a run that was stopped goes on when it is started again,
// anywhere.
//
// Invariants:
//   - A wave resumes back ends of the new site before it drains any of the old.
//     Nodes apply revisions in order, so none ever sees the drain alone.
//   - A step resumes or drains at most the wave's share of a site, one at least.
//   - Nothing is drained unless the demand fits into the capacity that stays,
//     less the share that must stay free. A back end without a recent report
//     counts as full and adds no capacity.
//   - Every change names the revision that it was worked out for. A change by
//     somebody else stops the run; those that the system makes by itself, such
//     as a version that a trainer publishes, make it look again.
//   - After a change whose fate is unknown nothing else is changed until the
//     fate has been looked up by the change's id.
package migrate
