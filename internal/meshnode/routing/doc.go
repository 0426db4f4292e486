// Package routing chooses the back end that runs a request.
//
// A choice is a pure function over a Pool snapshot and a Request: back ends
// that may not take the request are left out with a reason, and a Policy
// orders the rest. Every choice comes with an Explanation, which operators read
// through EXPLAIN REQUEST. Nothing here holds a socket, a goroutine or a clock;
// the policies that draw random numbers take a seed, and callers serialise
// access to a Policy.
//
// Load reports lag. The corrected policies therefore add to the reported load
// the change of this node's own requests since the report, and never assume
// less than this node itself has in flight.
package routing
