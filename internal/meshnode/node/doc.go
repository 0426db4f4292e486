// Package node assembles one node out of its parts and runs it.
//
// A node is the process beside each caller. Its caller port serves live
// requests and trainers' steps, its operator port the operators' language, and
// its peer port the other nodes. The parts depend on each other in one
// direction:
//
//	peer transport <- membership <- configuration log <- leases <- control loop
//	back ends <- dispatcher <- rollout steps <- gateway
//
// and meet only here: the configuration that the log applies is handed to the
// back ends, the leases and the control loop, and the members that the
// membership knows are handed, in the form each part wants, to whoever asks.
//
// Stop is the planned stop: new work is refused with advice when to come back,
// what is in flight ends, steps, claims and leases are handed over, and the
// other nodes are told. Kill is what a crash looks like to the others.
//
// Callers may rely on this: no port answers before Start, the caller port takes new
// work only while Ready returns nil, and no port answers once Stop or Kill has
// returned.
package node
