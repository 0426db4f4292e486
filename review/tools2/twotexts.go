package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// talkerSlots is how many runs each of two samplers has at a time, fastPace and slowPace about
	// the times between two of their events: on the sheets one sampler of three is 1.3 times slower.
	talkerSlots = 4
	fastPace    = 40 * time.Millisecond
	slowPace    = 52 * time.Millisecond
	// mostEvents is the longest text of the other trainer's items, fillingItems how many there are.
	mostEvents   = 124
	fillingItems = 6 * talkerSlots
	// longEvents is the length of the items of the group that comes again, shortEvents that of others.
	longEvents  = 120
	shortEvents = 8
	// firstStep is for how long the first step goes on, training how long training takes, and
	// stepDeadline how long the second step is waited for.
	firstStep    = 2700 * time.Millisecond
	training     = 500 * time.Millisecond
	stepDeadline = 12 * time.Second
	// slowFullFor and fastFullFor are for how long after the end of the second step the other
	// trainer's items go on at the slower and at the faster sampler.
	slowFullFor = 520 * time.Millisecond
	fastFullFor = 650 * time.Millisecond
	// longPrefix begins the ids of the group that comes again, which has groupSize items.
	longPrefix = "e5b2907c14da6f3"
	groupSize  = 4
	// knowEachOther is how long nodes that start together take to know of each other.
	knowEachOther = 3 * time.Second
)

// talker is a sampler whose events tell which run made them: two runs of a model never say the same.
type talker struct {
	id   string
	pace time.Duration
	log  *record
	runs *atomic.Int64
	// full tells that the other trainer's texts go on.
	full atomic.Bool

	mu      sync.Mutex
	running int
	// asked holds, by run, the event after which it was to go on.
	asked *sync.Map
}

// ServeHTTP implements http.Handler.
func (t *talker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/v1/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"stage":"hybrid","models":[{"name":"m0","version":1,"adapters":[]}],"busySlots":false,"seq":0}`)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	t.mu.Lock()
	if t.running >= talkerSlots {
		t.mu.Unlock()
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.running++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	}()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := t.runs.Add(1)
	t.asked.Store(run, after)
	t.log.line("%s: run %d of item %s, asked for with Last-Event-Id %d", t.id, run, id, after)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Response-Stamp", "stamp-"+t.id)
	w.WriteHeader(http.StatusOK)
	made := after
	for n := after + 1; t.more(id, n); n++ {
		time.Sleep(t.pace*9/10 + rand.N(t.pace*2/10))
		if r.Context().Err() != nil {
			break
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d:%d\n\n", n, n, run); err != nil {
			break
		}
		w.(http.Flusher).Flush()
		made = n
	}
	t.log.line("%s: run %d of item %s ended after event %d", t.id, run, id, made)
}

// more tells whether the text of an item has an event n.
func (t *talker) more(id string, n int) bool {
	switch {
	case strings.HasPrefix(id, "full"):
		return n == 1 || n <= mostEvents && t.full.Load()
	case strings.HasPrefix(id, longPrefix):
		return n <= longEvents
	}
	return n <= shortEvents
}

// silencer stands before the store for one node. From a moment on the connection that carries its
// open watch of the jobs says nothing more; all others work, and so do new ones.
type silencer struct {
	inner http.Handler
	mu    sync.Mutex
	// open is the newest watch of the jobs; silent are those whose connections are silent.
	open   int
	silent map[int]bool
	began  chan struct{}
}

// ServeHTTP implements http.Handler.
func (s *silencer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/rows-feed" || r.URL.Query().Get("table") != "jobs" {
		s.inner.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	s.open++
	number := s.open
	select {
	case s.began <- struct{}{}:
	default:
	}
	s.mu.Unlock()
	recorder := httptest.NewRecorder()
	s.inner.ServeHTTP(recorder, r)
	s.mu.Lock()
	silent := s.silent[number]
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

// silence waits for a watch to begin and makes its connection silent.
func (s *silencer) silence() {
	select {
	case <-s.began:
	default:
	}
	<-s.began
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[s.open] = true
}

// stepItem is an item of a step with its group and the caller's guess of its tokens.
type stepItem struct {
	id, group string
	hint      int
}

func stepBody(step int, items []stepItem) []byte {
	var list []map[string]any
	groups := make(map[string]bool)
	for i, item := range items {
		groups[item.group] = true
		list = append(list, map[string]any{
			"id": item.id, "path": fmt.Sprintf("/jobs/%s/%d", item.group, i), "body": "q83vEjRWeJA=", "tokens": 1016 + 2*item.hint, "group": item.group,
			"headers": map[string]string{"Model": "m0", "Token-Count": "1016,500", "Prompt-Prefix": "9c2e41:1000,5d07b8:16", "Length-Hint": strconv.Itoa(item.hint)},
		})
	}
	content, err := json.Marshal(map[string]any{"step": step, "model": "m0", "minVersion": 1, "desired": len(groups), "items": list})
	must(err)
	return content
}

// twoTexts brings a group again in a further step whose owner has not seen the end of the step before.
func twoTexts(log *record, trouble bool) []string {
	w := newWorld(log)
	defer w.close()
	var runs atomic.Int64
	asked := &sync.Map{}
	var talkers []*talker
	for i, pace := range []time.Duration{fastPace, slowPace} {
		t := &talker{id: fmt.Sprintf("engine-%d", i), pace: pace, log: log, runs: &runs, asked: asked}
		t.full.Store(true)
		talkers = append(talkers, t)
		address := w.serve(t)
		entry := fmt.Sprintf(`{"service":"pool","address":%q,"zone":"z%d","version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"stage":"hybrid","models":[{"name":"m0","version":1,"adapters":[]}],"seq":1}`, address, i+1, talkerSlots)
		w.rows.Put("servers", "", t.id, []byte(entry))
	}
	w.configure(1, []map[string]any{{
		"name": "jobs", "host": appHost, "pathPrefix": "/jobs/", "kind": "rollout", "service": "pool", "timeoutMs": 10000, "targetLatencyMs": 400,
		"priority": 1, "maxAttempts": 3, "maxQueueS": 40.0, "resultDueMs": 7500, "sticky": true, "resumable": true,
	}}, []map[string]any{{"name": "pool", "healthPath": "/health", "maxConns": 150, "protocol": "h1", "tls": false}})
	silencers := make(map[string]*silencer)
	for i := range 3 {
		name := fmt.Sprintf("front-%d", i+1)
		s := &silencer{inner: w.storeHandler(), silent: make(map[int]bool), began: make(chan struct{}, 1)}
		w.store = w.serve(s)
		silencers[name] = s
		w.addNode(name, fmt.Sprintf("z%d", i+1))
	}
	w.awaitReady()
	// All nodes have to know of each other before the first job, which goes to another owner otherwise.
	time.Sleep(knowEachOther)

	var carried []stepItem
	for i := range groupSize {
		carried = append(carried, stepItem{longPrefix + strconv.Itoa(i), "carried", 500})
	}
	submit(w, w.nodes[0], "1a00000000000001", stepBody(0, append(carried[:groupSize:groupSize], stepItem{"a1", "a", 40}, stepItem{"a2", "a", 40})))
	owner, other := w.ownerOf("1a00000000000001")
	log.line("the jobs' owner is %s", owner.name)
	time.Sleep(firstStep)
	end(w, other, "1a00000000000001")
	time.Sleep(training)
	var filling []stepItem
	for i := range fillingItems {
		filling = append(filling, stepItem{fmt.Sprintf("full%d", i), fmt.Sprintf("f%d", i/4), 500})
	}
	submit(w, other, "1b00000000000001", stepBody(0, filling))
	time.Sleep(training)
	submit(w, other, "1a00000000000002", stepBody(1, append(carried[:groupSize:groupSize], stepItem{"b1", "b", 40})))
	if again, _ := w.ownerOf("1a00000000000002"); again != owner {
		panic(errHarness{"the second step has another owner"})
	}
	time.Sleep(stepDeadline)
	if trouble {
		silencers[owner.name].silence()
		log.line("the connection of %s's open watch of the jobs is silent from now on", owner.name)
	}
	ended := time.Now()
	end(w, other, "1a00000000000002")
	time.Sleep(training)
	submit(w, owner, "1a00000000000003", stepBody(2, append(carried[:groupSize:groupSize], stepItem{"c1", "c", 40})))
	time.Sleep(time.Until(ended.Add(slowFullFor)))
	talkers[1].full.Store(false)
	time.Sleep(time.Until(ended.Add(fastFullFor)))
	talkers[0].full.Store(false)
	return judgeTexts(w, owner, asked)
}

// ownerOf returns the node that owns a job, as the store says, and another one.
func (w *world) ownerOf(job string) (owner, other *node) {
	for _, row := range w.rows.Rows("jobs") {
		var head struct {
			Owner string `json:"owner"`
		}
		if row.Key != job+"/head" || json.Unmarshal(row.Value, &head) != nil {
			continue
		}
		for _, n := range w.nodes {
			if n.name == head.Owner {
				owner = n
			} else {
				other = n
			}
		}
	}
	if owner == nil {
		panic(errHarness{"no owner of " + job})
	}
	return owner, other
}

func submit(w *world, n *node, id string, body []byte) {
	got := ask("POST", n.front, "/jobs/x", map[string]string{"Request-Id": id, "Content-Type": "application/json", "Deadline-Ms": "10000"}, bytes.NewReader(body), int64(len(body)), 10*time.Second)
	w.log.line("job %s submitted to %s: status %d, error %v", id, n.name, got.status, got.err)
	if got.status != http.StatusAccepted {
		panic(errHarness{"job not accepted"})
	}
}

func end(w *world, n *node, id string) {
	got := ask("DELETE", n.front, "/v1/lots/"+id, nil, nil, -1, 3*time.Second)
	w.log.line("end of job %s at %s: status %d, error %v", id, n.name, got.status, got.err)
}

// judgeTexts reads the last step and checks that each event of the long texts was made by the run that
// was asked to go on behind the one before.
func judgeTexts(w *world, n *node, asked *sync.Map) []string {
	const wait = 20 * time.Second
	for began := time.Now(); time.Since(began) < wait; time.Sleep(500 * time.Millisecond) {
		got := ask("GET", n.front, "/v1/lots/1a00000000000003?afterRev=0", nil, nil, -1, 3*time.Second)
		var page resultPage
		_ = json.Unmarshal(got.body, &page)
		texts := make(map[string]string)
		for _, result := range page.Results {
			if strings.HasPrefix(result.ID, longPrefix) {
				texts[result.ID] = result.Text
			}
		}
		if len(texts) < groupSize {
			continue
		}
		var broken []string
		for _, id := range slices.Sorted(maps.Keys(texts)) {
			w.log.line("text of %s: %s", id, strings.ReplaceAll(texts[id], "\n", " "))
			for _, how := range judgeText(texts[id], asked) {
				broken = append(broken, id+": "+how)
			}
		}
		return broken
	}
	panic(errHarness{"the group was not listed"})
}

func judgeText(text string, asked *sync.Map) []string {
	var broken []string
	var before int64
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		var number int
		var run int64
		if _, err := fmt.Sscanf(line, "%d:%d", &number, &run); err != nil || number != i+1 {
			broken = append(broken, fmt.Sprintf("ORDER: event %d of the text is %q", i+1, line))
			continue
		}
		if after, _ := asked.Load(run); run != before && after != i {
			broken = append(broken, fmt.Sprintf("ORDER: after event %d of run %d the text continues with run %d, which was asked for with Last-Event-Id %v", i, before, run, after))
		}
		before = run
	}
	if len(lines) != longEvents {
		broken = append(broken, fmt.Sprintf("MIXED: the text has %d of %d events", len(lines), longEvents))
	}
	return broken
}
