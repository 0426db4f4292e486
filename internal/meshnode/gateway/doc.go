// Package gateway serves the caller port of a node over HTTP: live requests,
// the steps of trainers, health and metrics.
//
//	POST /v1/requests
//	POST /v1/trainers/{trainer}/steps/{step}
//	GET  /v1/trainers/{trainer}/steps/{step}/samples?cursor&version&limit&wait_ms
//	POST /v1/trainers/{trainer}/steps/{step}/ack
//	POST /v1/trainers/{trainer}/versions
//	GET  /healthz, /readyz, /metrics
//
// Every field is checked before anything is done; a request that fails a check
// is refused with a typed api.Error. Every answer that is not a success is an
// api.Error, whose outcome callers may rely on.
//
// A planned stop begins with BeginStop: from then on new requests are refused
// with code node_stopping and Retry-After, and pulls that wait for samples
// answer with what there is. Wait returns once every request in flight has got
// its answer.
package gateway
