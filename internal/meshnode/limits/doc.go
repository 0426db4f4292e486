// Package limits holds the arithmetic of admission: in-flight limits, the retry
// budget, the bound of deadlines, and the advice when to come back.
//
// Everything here is a value or a state machine without goroutines and without
// a clock; callers pass the time in and serialise access. Nothing waits: a
// request that is over a limit is told so at once.
package limits
