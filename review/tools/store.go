package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
	"github.com/sliplift/sliplift/platform/standin"
)

const (
	// heartbeat is how often a sampler writes its entry, and entryLife after how long a
	// silence the entry goes: three heartbeats (PROTOCOL.md, Service discovery).
	heartbeat = 1200 * time.Millisecond
	entryLife = 3 * heartbeat
	sweep     = 100 * time.Millisecond
)

// registry keeps the entries of samplers in the store's table servers.
type registry struct {
	rows *rowstoretest.Store
	mu   sync.Mutex
	seen map[string]time.Time
	held map[string]string
}

// beat takes a heartbeat. The entry changes only when its content does.
func (r *registry) beat(w http.ResponseWriter, request *http.Request) {
	entry, _ := io.ReadAll(request.Body)
	id := request.URL.Query().Get("id")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[id] = time.Now()
	if r.held[id] != string(entry) {
		r.held[id] = string(entry)
		r.rows.Put("servers", "", id, entry)
	}
	w.WriteHeader(http.StatusOK)
}

// expire removes the entries of samplers that fell silent.
func (r *registry) expire() {
	for range time.Tick(sweep) {
		r.mu.Lock()
		for id, at := range r.seen {
			if time.Since(at) > entryLife {
				delete(r.seen, id)
				delete(r.held, id)
				r.rows.Delete("servers", "", id)
			}
		}
		r.mu.Unlock()
	}
}

// runStore serves the platform's store at an address. What the operator writes comes by
// POST /operator?key=KEY.
func runStore(arguments []string) int {
	rows := rowstoretest.New()
	entries := &registry{rows: rows, seen: make(map[string]time.Time), held: make(map[string]string)}
	go entries.expire()
	mux := http.NewServeMux()
	mux.Handle("/v1/", standin.NewStore(rows))
	mux.HandleFunc("POST /beat", entries.beat)
	mux.HandleFunc("POST /operator", func(w http.ResponseWriter, request *http.Request) {
		value, _ := io.ReadAll(request.Body)
		rows.Put("op", "", request.URL.Query().Get("key"), value)
		w.WriteHeader(http.StatusOK)
	})
	server := &http.Server{Addr: arguments[0], Handler: mux, ReadHeaderTimeout: time.Minute}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	return exitFailed
}
