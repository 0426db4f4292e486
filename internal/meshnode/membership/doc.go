// Package membership gives each node a view of all others: who is alive, who
// is not, since when, and how this is known.
//
// # Protocol
//
// Each period a node pings one member, walking through all of them in random
// order, mostly through those of its own region. Where no acknowledgement comes,
// helpers in other zones ping in its stead; a helper that fails as well is an
// observer in its own right. The target is then suspect, with its observers.
// Whoever learns that it is suspect itself raises its refutation counter and is
// alive again. A suspect that does not refute in time is dead once independent
// observers agree: two, in distinct zones where there are such, one of them in
// the suspect's own region where it has other members.
//
// A region from which nobody on this side has heard for a while, with several
// members suspect, is unreached. Its members are unreachable and are not
// declared dead, for no observer inside the region says so: a cut between
// regions, or the loss of a whole one, which looks the same from outside. Every
// message carries the age of the last word from each other region, so that all
// nodes of a side know about as much.
//
// News rides on all messages, a bounded number in each, and is passed on
// a number of times that grows with the logarithm of the number of members.
// While there is news, some messages are sent for it alone. Now and then two
// random nodes compare hashes of their views and exchange what differs.
//
// # Invariants
//
// Statements about a member are ordered by incarnation, refutation and state;
// a node never goes back to an earlier one. Only a member itself raises its
// refutation counter and only it says that it left. A new process of the same
// name has a larger incarnation and supersedes the earlier one.
//
// # What callers may rely on
//
// The view is a hint. It may be wrong both ways for seconds, and nothing that
// must hold may rest on it alone: leases and claims fence themselves. A member
// shown dead may be at work behind a failed link; one shown alive may be gone.
package membership
