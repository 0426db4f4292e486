package server

import (
	"errors"
	"net/http"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// BackendCalls lets the faults of an engine or application strike the calls
// that it answers. Unlike a service of the platform, a back end that is down
// says that it did not run the request.
type BackendCalls struct {
	// Name is the target name of the back end's faults.
	Name   string
	Faults *fault.Set
}

// Read decodes the body and then lets the faults of calls strike; false says
// that the call is answered.
func (c BackendCalls) Read(w http.ResponseWriter, r *http.Request, body any) bool {
	if malformed := httpjson.Read(w, r, httpjson.DefaultBodyLimit, body); malformed != nil {
		httpjson.WriteError(w, malformed)
		return false
	}
	return c.Begin(w, r)
}

// Begin is Read for calls without a body.
func (c BackendCalls) Begin(w http.ResponseWriter, r *http.Request) bool {
	err := c.Faults.Before(r.Context(), c.Name)
	if err == nil {
		return true
	}
	if errors.Is(err, fault.ErrDown) {
		err = api.Refusal(http.StatusServiceUnavailable, api.CodeNoBackend, 0, "%s: down", c.Name)
	}
	WriteFailure(w, err)
	return false
}

// Answer sends the answer to a call that may have changed something, or loses
// it. Failure is nil where the call succeeded.
func (c BackendCalls) Answer(w http.ResponseWriter, value any, failure *api.Error) {
	if c.Faults.LoseAnswer(c.Name) != nil {
		panic(http.ErrAbortHandler)
	}
	if failure != nil {
		httpjson.WriteError(w, failure)
		return
	}
	httpjson.Write(w, http.StatusOK, value)
}
