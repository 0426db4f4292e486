// Package engine is the client of model engines and application instances.
//
// A generate request is answered by a stream of JSON lines, one
// api.StreamFrame each. The client checks every frame: request id, attempt,
// consecutive sequence numbers, and on the last frame the token total and the
// checksum of the text. Duplicated frames and frames of another request or
// attempt are dropped, and frames that arrive out of order are put in order
// within a window; a gap, a frame that cannot be read, or a stream without its
// end marker makes the answer partial.
//
// Callers may rely on the State of a result:
//
//   - StateNotSent: no connection was had, so no byte of the request left this
//     process.
//   - StateRefused: the back end answered that it did not run the request.
//   - StatePartial: the request may have run; the result holds the text that
//     arrived before the stream ended, with the versions its frames named.
//   - StateComplete: the whole answer is in the result.
//
// Redirects are not followed, because following one would send a request a
// second time. The transport of net/http repeats a POST by itself only when no
// byte of it was written, so one call never reaches a back end twice.
package engine
