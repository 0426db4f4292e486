package emulator

import (
	"net/http"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// FaultList is the answer to GET /v1/faults on the control port.
type FaultList struct {
	Faults []fault.Fault `json:"faults"`
}

// MachineStateRequest is the body of POST /v1/machines/{name}/state on the
// control port.
type MachineStateRequest struct {
	State api.MachineState `json:"state"`
}

// LeavingRequest is the body of POST /v1/backends/{name}/leaving on the control
// port: what the back end reports about its own going.
type LeavingRequest struct {
	Leaving bool `json:"leaving"`
}

// controlHandler returns the control port: POST, GET and DELETE of faults, the
// state of machines and the back ends' own report of their going.
func (e *Emulator) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", e.serveAddFault)
	mux.HandleFunc("GET /v1/faults", e.serveFaults)
	mux.HandleFunc("DELETE /v1/faults/{id}", e.serveRemoveFault)
	mux.HandleFunc("POST /v1/machines/{name}/state", e.serveMachineState)
	mux.HandleFunc("POST /v1/backends/{name}/leaving", e.serveLeaving)
	return mux
}

func (e *Emulator) serveAddFault(w http.ResponseWriter, r *http.Request) {
	var wanted fault.Fault
	if malformed := httpjson.Read(w, r, httpjson.DefaultBodyLimit, &wanted); malformed != nil {
		httpjson.WriteError(w, malformed)
		return
	}
	if !e.names[wanted.Target] || wanted.Target == controlName {
		httpjson.WriteError(w, api.Invalid("target: no stand-in %q", wanted.Target))
		return
	}
	added, err := e.faults.Add(wanted)
	if err != nil {
		httpjson.WriteError(w, api.Invalid("%v", err))
		return
	}
	httpjson.Write(w, http.StatusCreated, added)
}

func (e *Emulator) serveFaults(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, FaultList{Faults: e.faults.List()})
}

func (e *Emulator) serveRemoveFault(w http.ResponseWriter, r *http.Request) {
	if !e.faults.Remove(r.PathValue("id")) {
		httpjson.WriteError(w, notFound("no fault %q", r.PathValue("id")))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Emulator) serveMachineState(w http.ResponseWriter, r *http.Request) {
	var request MachineStateRequest
	if malformed := httpjson.Read(w, r, httpjson.DefaultBodyLimit, &request); malformed != nil {
		httpjson.WriteError(w, malformed)
		return
	}
	if request.State != api.MachineLive && request.State != api.MachineLeaving {
		httpjson.WriteError(w, api.Invalid("state: %q", request.State))
		return
	}
	if e.machines == nil || !e.machines.SetState(r.PathValue("name"), request.State) {
		httpjson.WriteError(w, notFound("no machine %q", r.PathValue("name")))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Emulator) serveLeaving(w http.ResponseWriter, r *http.Request) {
	var request LeavingRequest
	if malformed := httpjson.Read(w, r, httpjson.DefaultBodyLimit, &request); malformed != nil {
		httpjson.WriteError(w, malformed)
		return
	}
	if !e.SetLeaving(r.PathValue("name"), request.Leaving) {
		httpjson.WriteError(w, notFound("no back end %q", r.PathValue("name")))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetLeaving sets what a back end reports about its own going and tells
// whether there is such a back end.
func (e *Emulator) SetLeaving(name string, leaving bool) bool {
	if running, found := e.engines[name]; found {
		running.SetLeaving(leaving)
		return true
	}
	if running, found := e.applications[name]; found {
		running.SetLeaving(leaving)
		return true
	}
	return false
}

func notFound(format string, args ...any) *api.Error {
	return api.Refusal(http.StatusNotFound, api.CodeNotFound, 0, format, args...)
}
