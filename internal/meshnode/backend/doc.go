// Package backend keeps the node's view of the back ends that it uses.
//
// A Set follows the configuration, polls the load reports of its back ends,
// counts this node's own requests in flight, and remembers failures. It hands
// out immutable routing snapshots.
//
// A node watches a subset of a large pool: the back ends that rank highest by
// rendezvous hashing with the node's name, those in its own zone first. So the
// cost of control grows with the nodes or with the back ends, never with their
// product.
//
// A back end takes no new work from the moment that the Set learns that it
// leaves, by whichever of the three ways is first: a drain order in the
// configuration, the platform's machine list, or the back end's own report.
// A report carried on an answer counts like a polled one, and puts the next poll
// of that back end off. Config.PollRate bounds the polls of all back ends
// together, so that many pools cost a node no more than a few.
package backend
