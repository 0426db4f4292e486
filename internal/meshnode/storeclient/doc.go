// Package storeclient has the clients of the platform's services: the table
// service, the object store, the weight store, the machine list and the scoring
// service.
//
// All of them may be down, slow or rate-limited, and an answer may be lost
// after its effect. The clients therefore sort every failure into two kinds. An
// *api.Error is the service's own definite word: nothing was done. Anything
// else matches ErrUncertain: the effect may have happened, and the caller has to
// read to learn it. The clients never retry by themselves, since only their
// callers know what a second effect would mean.
package storeclient
