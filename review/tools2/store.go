package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

// Limits of one answer of the platform's store, from its page.
const (
	listRows  = 500
	listBytes = 1 << 20
)

type storeRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"tlsKey"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
}

// boundedLists stands before the project's stand-in of the store, which answers a list whole:
// the platform's store answers at most 500 rows or 1 MB at a time.
func boundedLists(rows *rowstoretest.Store, inner http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", inner)
	mux.HandleFunc("GET /v1/rows-get", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		limit, _ := strconv.Atoi(query.Get("limit"))
		if limit <= 0 || limit > listRows {
			limit = listRows
		}
		snapshot, err := rows.List(r.Context(), query.Get("table"), query.Get("part"), query.Get("from"), query.Get("targetVersion"), limit)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		found, size, more := []storeRow{}, 0, snapshot.More
		for _, row := range snapshot.Rows {
			size += len(row.Value)*4/3 + len(row.Key)
			if size > listBytes && len(found) > 0 {
				more = true
				break
			}
			found = append(found, storeRow{row.Table, row.Partition, row.Key, row.Value, row.Revision})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"rows": found, "more": more, "ver": snapshot.Revision, "now_ms": time.Now().UnixMilli()})
	})
	return mux
}
