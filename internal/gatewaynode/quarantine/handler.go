package quarantine

import (
	"encoding/json"
	"net/http"

	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
)

// HandlerPath is the path prefix of Handler.
const HandlerPath = "/quarantine/"

// told is the JSON form of a Suspect.
type told struct {
	Work      string    `json:"work"`
	Held      bool      `json:"held"`
	ChangedMS int64     `json:"changed_ms_ago"`
	Ends      []toldEnd `json:"ends"`
}

type toldEnd struct {
	Backend string `json:"backend"`
	row
}

// Handler returns the operators' interface: GET HandlerPath lists the suspected works, and
// DELETE HandlerPath followed by a fingerprint clears that work on all nodes.
func Handler(tracker *Tracker) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+HandlerPath, func(w http.ResponseWriter, _ *http.Request) {
		list := []told{}
		for _, s := range tracker.Suspects() {
			t := told{Work: s.Work.String(), Held: s.Held, ChangedMS: s.Changed.Milliseconds()}
			for _, failure := range s.Failures {
				t.Ends = append(t.Ends, toldEnd{Backend: failure.Backend, row: rowValue(failure)})
			}
			list = append(list, t)
		}
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(list)
	})
	mux.HandleFunc("DELETE "+HandlerPath+"{work}", func(w http.ResponseWriter, r *http.Request) {
		work, err := fingerprint.Parse(r.PathValue("work"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !tracker.Clear(work) {
			http.Error(w, "nothing is known against this work", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
