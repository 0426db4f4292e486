// Package batch is a model of an inference engine with continuous batching, as
// a state machine in virtual time.
//
// A Machine runs in steps. Each step produces one token for every running
// stream and lasts StepBase plus StepPerStream for each of them; a step that
// admits streams also pays for the prefill of the prompt tokens which the
// prefix cache does not hold. Streams join and are preempted only between
// steps, by priority and then by order of arrival. A weight swap waits for the
// step in progress, pauses the machine, and lets the running streams go on with
// the new version, which opens a new segment in each of them.
//
// Invariants:
//   - A machine is a function of the calls made on it: it starts no goroutine and
//     reads neither a clock nor a random source.
//   - Time never goes back; a call with an earlier time counts as made at the
//     latest time seen.
//   - The text of a token is a function of the prompt, the version and the
//     token's position; the length of an answer is a function of the prompt and
//     the request id. So a stream that is exported and resumed elsewhere yields
//     the text that it would have yielded in one piece.
//   - The segments of a stream count exactly the tokens that it produced, in
//     order, each under the version that was loaded in that step.
//
// Runs of equal steps are computed at once, so the cost of a simulation grows
// with the number of arrivals and endings and not with the number of tokens.
package batch
