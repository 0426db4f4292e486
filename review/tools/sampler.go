package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runRecord is a line of a sampler's record: the begin or the end of a run.
type runRecord struct {
	At      int64  `json:"at_ms"`
	Sampler string `json:"sampler"`
	What    string `json:"what"`
	ID      string `json:"id"`
	After   int    `json:"after"`
	Made    int    `json:"made"`
}

// sampler is a model sampler. A request's path ends with /EVENTS/NAME and says how many events
// its whole text has.
type sampler struct {
	id, address, service, model string
	slots                       int
	gap                         time.Duration
	// failBytes is the length of the body with which two requests of five are answered with
	// 500, 0 for none.
	failBytes int

	mu      sync.Mutex
	version int64
	taken   int64
	running int
	served  int
	record  *json.Encoder
}

func runSampler(arguments []string) int {
	flags := flag.NewFlagSet("sampler", flag.ContinueOnError)
	s := &sampler{version: 1}
	flags.StringVar(&s.id, "id", "", "incarnation")
	flags.StringVar(&s.address, "address", "", "IP:port")
	flags.StringVar(&s.service, "service", "pool", "service")
	flags.StringVar(&s.model, "model", "model", "model")
	flags.IntVar(&s.slots, "slots", 12, "slots")
	flags.DurationVar(&s.gap, "gap", 40*time.Millisecond, "time between two events")
	flags.IntVar(&s.failBytes, "fail-bytes", 0, "length of the body of answers of 500 to two requests of five")
	store := flags.String("store", "", "IP:port of the store")
	record := flags.String("record", "", "file that runs are appended to")
	if flags.Parse(arguments) != nil {
		return exitFailed
	}
	file, err := os.OpenFile(*record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	s.record = json.NewEncoder(file)
	go s.beat(*store)
	server := &http.Server{Addr: s.address, Handler: s, ReadHeaderTimeout: time.Minute}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	return exitFailed
}

// beat keeps the sampler's entry in the store.
func (s *sampler) beat(store string) {
	for {
		s.mu.Lock()
		entry, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": "zone-a", "version": "v1", "slots": s.slots,
			"state": "ready", "coldRemainingMs": 0, "seq": 1, "models": []map[string]any{{"name": s.model, "version": s.version}},
		})
		s.mu.Unlock()
		if answer, err := http.Post("http://"+store+"/beat?id="+s.id, "application/json", bytes.NewReader(entry)); err == nil {
			_ = answer.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

func (s *sampler) note(what, id string, after, made int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Encode(runRecord{At: time.Now().UnixMilli(), Sampler: s.id, What: what, ID: id, After: after, Made: made})
}

// ServeHTTP implements http.Handler.
func (s *sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "hybrid", "models": []map[string]any{{"name": s.model, "version": s.version}}, "busySlots": false,
			"seq": s.taken, "numRunning": s.running,
		})
	case "/v1/order":
		s.order(w, r)
	default:
		s.request(w, r)
	}
}

// order takes an order of a version at once.
func (s *sampler) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version int64  `json:"version"`
		IfRev   *int64 `json:"ifRev"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case order.IfRev != nil && *order.IfRev != s.taken:
		w.WriteHeader(http.StatusConflict)
	case order.Version == s.version:
		w.WriteHeader(http.StatusOK)
	default:
		s.version = order.Version
		s.taken++
		w.WriteHeader(http.StatusAccepted)
	}
}

// begin takes a slot, and tells whether there was one.
func (s *sampler) begin() (version int64, free bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return 0, false
	}
	s.running++
	return s.version, true
}

func (s *sampler) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// fails tells whether the next request is answered with 500: two of five are.
func (s *sampler) fails() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
	return s.failBytes > 0 && s.served%5 >= 3
}

// eventsOf returns how many events the text of a path has.
func eventsOf(path string) int {
	parts := strings.Split(path, "/")
	events, _ := strconv.Atoi(parts[max(len(parts)-2, 0)])
	return events
}

func eventData(id string, number int) string { return fmt.Sprintf("%s:%d", id, number) }

// request streams the events of a request from behind Last-Event-Id on.
func (s *sampler) request(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	version, free := s.begin()
	if !free {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	made := after
	s.note("begin", id, after, made)
	defer func() { s.note("end", id, after, made) }()
	w.Header().Set("Response-Stamp", "stamp-"+s.id+"-"+id)
	if s.fails() {
		s.note("answers 500", id, after, made)
		w.Header().Set("Content-Length", strconv.Itoa(s.failBytes))
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, strings.Repeat("f", s.failBytes))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	for made < eventsOf(r.URL.Path) {
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			return
		}
		made++
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", made, eventData(id, made))
		flusher.Flush()
	}
}
