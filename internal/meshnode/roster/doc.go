// Package roster keeps the configuration's list of claim members, from which
// package claim chooses the replica groups of idempotency keys, in step with the
// nodes that are alive.
//
// # Protocol
//
// Every node looks at the membership and remembers for how long each member has
// been alive or gone (Memory). The holder of the lease LeaseShard asks Propose
// for the change that the list needs, and submits it on the revision that the
// proposal was made for (IfRevision), so that a holder that lost its lease
// unaware cannot undo another's change. A change whose answer was lost is
// submitted again under its id, before any other.
//
// The first list is made as soon as GroupSize members, or all that are known if
// there are fewer, have settled. Later, members that have been alive for
// JoinAfter are added, and those that have been gone for ReplaceAfter are
// removed, so a restart under the same name changes nothing. While it is open
// whether a member that is gone comes back, others join after ReplaceAfter only,
// so that a replacement is one change. Nothing changes
// while a region is unreached: its members are at work, as far as anybody knows.
// A member that is gone stays in the list where groups would otherwise become
// smaller. Groups are chosen by rendezvous hashing, so a list that differs by
// one member leaves the groups of all keys as they were, but those in which
// that member is.
//
// # Former lists
//
// A claim on a list needs majorities of the groups of the current and of all
// former lists. Two claims of one key, one on list A alone and one on list B
// with A as former, both need a majority of the key's group in A, so at most one
// wins. A former list may be dropped once no claim that was won without the
// current list can matter:
//
//   - A replica that has applied the revision of list B refuses claims of lower
//     revisions. Once fewer members of A than a majority of a group have not
//     applied it, no new claim can be won on A alone. The list is then settled
//     (Memory.Confirm); the members say themselves what they applied, in answer
//     to InForce. A node that restarts applies no lower revision before it
//     serves (see package configlog).
//   - A round that was under way then ends within claim.Config.RoundTimeout, and
//     its key is used no longer than Validity after it was first sent. Window is
//     at least the sum of the two. So Window after the list settled, no caller
//     may use a key that was claimed on A alone.
//
// The clock starts when the list settled, not when the change was accepted: a
// region that is cut off right after the acceptance may go on claiming on A for
// as long as the cut lasts. Only with MaxViewAge set does a node stop by itself,
// and the list counts as settled by then. A new holder has not seen the list
// settle and asks again, which delays the change and harms nothing.
//
// A second change waits until the first one's former list can be dropped, and
// drops it in the same step. The exception is a list that has lost the majority
// of any group for which there are replacements: no claim can be won anyhow, and
// the sooner the list changes, the sooner the window ends. At most maxFormer
// lists are kept.
//
// # Limits
//
// A member that has been gone for Window counts as applied; else two machines
// that never come back would hold a former list for ever. Membership calls a
// member dead only with an observer in its own region; still, with MaxViewAge
// zero this rests on no majority of a group living on for so long, cut off from
// everybody else. Set MaxViewAge where that must be excluded.
//
// Package claim keeps a former list for Window from when each node first saw the
// change, so with MaxViewAge zero it must also keep one for as long as the
// configuration names it.
//
// At revision zero of the configuration no list is made, because IfRevision
// cannot name that revision; without a pool there is nothing to claim.
package roster
