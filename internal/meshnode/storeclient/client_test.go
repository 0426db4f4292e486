package storeclient

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// TestFailuresAreSortedIntoDefiniteAndUncertain holds the promise on which
// every compare-and-swap of the project rests.
func TestFailuresAreSortedIntoDefiniteAndUncertain(t *testing.T) {
	conditionFailed := api.Refusal(http.StatusConflict, api.CodeConditionFailed, 0, "row moved")
	limited := api.Refusal(http.StatusTooManyRequests, api.CodeRateLimited, 200, "slow down")
	unknown := &api.Error{Status: http.StatusServiceUnavailable, Code: api.CodeStoreUnavailable, Outcome: api.OutcomeUnknown}
	cases := []struct {
		name      string
		answer    func(http.ResponseWriter)
		code      api.Code
		uncertain bool
	}{
		{"condition failed", func(w http.ResponseWriter) { httpjson.WriteError(w, conditionFailed) }, api.CodeConditionFailed, false},
		{"rate limited", func(w http.ResponseWriter) { httpjson.WriteError(w, limited) }, api.CodeRateLimited, false},
		{"typed but unknown", func(w http.ResponseWriter) { httpjson.WriteError(w, unknown) }, api.CodeStoreUnavailable, true},
		{"untyped 503", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, "", true},
		{"answer lost", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, "", true},
		{"garbled success", func(w http.ResponseWriter) { w.Write([]byte("{")) }, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.answer(w) }))
			defer server.Close()
			client := NewClient(server.Client(), Addresses{Table: server.Listener.Addr().String()})
			_, err := client.Commit(context.Background(), api.Transaction{ID: "t1"})
			if errors.Is(err, ErrUncertain) != c.uncertain {
				t.Errorf("error %v: uncertain is %v, want %v", err, !c.uncertain, c.uncertain)
			}
			if !c.uncertain && !HasCode(err, c.code) {
				t.Errorf("error %v does not have code %s", err, c.code)
			}
		})
	}
}

// TestKeysWithSlashesSurviveThePath covers keys such as steps/t/1.
func TestKeysWithSlashesSurviveThePath(t *testing.T) {
	var got string
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table/rows/{key}", func(w http.ResponseWriter, r *http.Request) {
		got = r.PathValue("key")
		httpjson.Write(w, http.StatusOK, api.Row{Key: got})
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	client := NewClient(server.Client(), Addresses{Table: server.Listener.Addr().String()})
	if _, err := client.Get(context.Background(), "steps/t 1/7"); err != nil {
		t.Fatal(err)
	}
	if got != "steps/t 1/7" {
		t.Errorf("key arrived as %q", got)
	}
}
