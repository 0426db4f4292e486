// Package capacity measures what a node costs as the cluster grows, and the
// slopes from which docs/CAPACITY.md is worked out.
//
// # Hollow nodes
//
// A hollow node is the control part of a real one: the peer transport over
// loopback TCP, membership, the configuration service, leases, claims, the
// lease holder's loop and the watching of back ends. It has no callers and no
// HTTP servers. Many hollow nodes share a process with one stand-in of the
// table service, which keeps its rate limit, and with samplers that answer
// reports and orders from memory. Run measures clusters of growing size, one
// after the other.
//
// # Data roles
//
// What a request, a frame, a sample, a booking or a report costs does not
// depend on the number of nodes. Each is measured alone, in the same run, with
// the code that a node runs.
//
// # What the figures mean
//
// Processor time is that of the whole process (getrusage), the stand-ins
// included, so it errs upwards. Bytes between nodes are those of the lines on the wire,
// without TCP and IP headers. Memory is the heap that is in use after a garbage
// collection, with the stacks. Measurement needs a machine with little other
// work; the load average is part of the result.
package capacity
