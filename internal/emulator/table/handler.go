package table

import (
	"net/http"
	"strconv"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/server"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/table/transactions", s.serveCommit)
	mux.HandleFunc("GET /v1/table/rows/{key}", s.serveGet)
	mux.HandleFunc("GET /v1/table/rows", s.serveScan)
	return mux
}

func (s *Service) serveCommit(w http.ResponseWriter, r *http.Request) {
	var transaction api.Transaction
	if malformed := httpjson.Read(w, r, httpjson.DefaultBodyLimit, &transaction); malformed != nil {
		httpjson.WriteError(w, malformed)
		return
	}
	response, err := s.commit(r.Context(), transaction)
	server.Answer(w, response, err)
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	row, err := s.get(r.Context(), r.PathValue("key"))
	server.Answer(w, row, err)
}

func (s *Service) serveScan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := 0
	if text := query.Get("limit"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number <= 0 {
			httpjson.WriteError(w, api.Invalid("limit: %q is not a positive number", text))
			return
		}
		limit = number
	}
	response, err := s.scan(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	server.Answer(w, response, err)
}
