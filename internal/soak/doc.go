// Package soak runs gateway nodes as processes of their own against the stand-in of
// the platform, lets them and their connections fail, and judges what callers and back
// ends saw.
//
// The stand-in (row store, samplers, calls of duties) runs in the soak's own process,
// so that the judge knows what truly ran. Every connection between a node and the
// stand-in goes through a proxy of the soak's on the loopback interface, which delays,
// resets, refuses or silences it. Nodes are stopped, paused, killed and started again
// by signals; series of signals that must change nothing overlap with that. What fails when is drawn from a seed before the run and printed, so that
// a run can be repeated; the processes' own timing is not repeated.
//
// Judged are the promises of the README as the caller and the back end see them; see
// Judge. A soak ends all processes that it started, by their ids, whatever ends it.
package soak
