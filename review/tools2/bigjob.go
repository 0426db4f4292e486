package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// bigItems of bigBody bytes each make a batch job just under the operator's maxBodyBytes;
	// smallItems make one as large as the sheet's.
	bigItems   = 3900
	smallItems = 184
	bigBody    = 6000
	// stepEvery is the time between two steps of the trainer, stepsFor how long steps go on.
	stepEvery = 4 * time.Second
	stepsFor  = 96 * time.Second
	// endsOfAMachine, on so many machines, break the rule.
	endsOfAMachine = 3
	machinesEnding = 2
)

// resident returns the resident memory of a process in bytes.
func resident(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}

// jobBody returns the body of the batch job of a step.
func jobBody(step, items int) []byte {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
		Group   string            `json:"group"`
	}
	random := rand.NewChaCha8([32]byte{byte(step)})
	list := make([]item, 0, items)
	body := make([]byte, bigBody)
	for i := range items {
		_, _ = random.Read(body)
		list = append(list, item{
			ID: fmt.Sprintf("item-%03d-%05d", step, i), Path: fmt.Sprintf("/jobs/%d/%05d", step, i),
			Headers: map[string]string{"Model": "m0", "Token-Count": "1016,40", "Prompt-Prefix": fmt.Sprintf("%x:1000,%x:16", i/4+1, 1<<20+i)},
			Body:    base64.StdEncoding.EncodeToString(body), Tokens: 1056, Group: fmt.Sprintf("g%03d-%04d", step, i/4),
		})
	}
	content, err := json.Marshal(map[string]any{"step": step, "model": "m0", "minVersion": 1, "desired": items / 4 * 9 / 10, "items": list})
	must(err)
	return content
}

// memoryLimit ends processes that go over the memory of their machine, as the platform does.
type memoryLimit struct {
	mu    sync.Mutex
	kills map[string]int
	peaks map[string]int
}

func (m *memoryLimit) watch(w *world) {
	for w.ctx.Err() == nil {
		for _, n := range w.nodes {
			pid := n.pid()
			used := resident(pid)
			m.mu.Lock()
			m.peaks[n.name] = max(m.peaks[n.name], used)
			m.mu.Unlock()
			if used <= memoryMegabyte<<20 {
				continue
			}
			m.mu.Lock()
			m.kills[n.name]++
			count := m.kills[n.name]
			m.mu.Unlock()
			w.log.line("%s: uses %d MB of %d MB: the platform ends it, the %d. time", n.name, used>>20, memoryMegabyte, count)
			ended := n.ending()
			n.signal(syscall.SIGKILL)
			<-ended
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (m *memoryLimit) peaksText() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var parts []string
	for name, peak := range m.peaks {
		parts = append(parts, fmt.Sprintf("%s %d MB", name, peak>>20))
	}
	return strings.Join(parts, ", ")
}

// bigJob lets a trainer submit a batch job each four seconds, as large as the operator's limits
// allow; others look at the jobs on all nodes, as the pages say.
func bigJob(log *record, trouble bool) []string {
	w := newWorld(log)
	defer w.close()
	w.startStore()
	for i := range 11 {
		w.addSampler(fmt.Sprintf("engine-%d", i), "pool", fmt.Sprintf("z%d", i%3+1), "m0", nil).Slots = 12
	}
	w.configure(1, []map[string]any{{
		"name": "jobs", "host": appHost, "pathPrefix": "/jobs/", "kind": "rollout", "service": "pool", "timeoutMs": 10000, "targetLatencyMs": 400,
		"priority": 1, "maxAttempts": 3, "maxQueueS": 40.0, "resultDueMs": 7500, "sticky": true, "resumable": true,
	}}, []map[string]any{{"name": "pool", "healthPath": "/health", "maxConns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 12, "kvCacheTokens": 114759, "kvTokenBytes": 163840, "stride": 58, "models": []map[string]any{{"name": "m0"}},
	}}})
	for i := range 3 {
		w.addNode(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("z%d", i+1))
	}
	w.awaitReady()
	items := smallItems
	if trouble {
		items = bigItems
	}
	limit := &memoryLimit{kills: make(map[string]int), peaks: make(map[string]int)}
	go limit.watch(w)
	began := time.Now()
	for step := 0; time.Since(began) < stepsFor; step++ {
		started := time.Now()
		trainerStep(w, step, jobBody(step, items))
		log.line("peaks: %s", limit.peaksText())
		time.Sleep(time.Until(started.Add(stepEvery)))
	}
	limit.mu.Lock()
	defer limit.mu.Unlock()
	machines := 0
	for name, count := range limit.kills {
		log.line("%s: ended %d times for its memory", name, count)
		if count >= endsOfAMachine {
			machines++
		}
	}
	if machines >= machinesEnding {
		return []string{fmt.Sprintf("Fault: processes went over their memory %d times or more on %d of %d machines, with no disruption there", endsOfAMachine, machines, len(w.nodes))}
	}
	return nil
}

// trainerStep submits the job of a step, lets others look at it, and ends it.
func trainerStep(w *world, step int, body []byte) {
	id := fmt.Sprintf("%016x", 0xb0b0+step)
	header := map[string]string{"Request-Id": id, "Content-Type": "application/json", "Deadline-Ms": "10000"}
	accepted := -1
	for try := range 3 {
		n := w.nodes[(step+try)%len(w.nodes)]
		got := ask("POST", n.front, "/jobs/x", header, bytes.NewReader(body), int64(len(body)), 10*time.Second)
		w.log.line("job %s, %d bytes, submitted to %s: status %d, error %v, took %v", id, len(body), n.name, got.status, got.err, got.took)
		if got.status == 202 {
			accepted = (step + try) % len(w.nodes)
			break
		}
		time.Sleep(restartDelay)
	}
	if accepted < 0 {
		return
	}
	// Others ask for a body on nodes in any zone, while the job is open.
	for i, n := range w.nodes {
		item := fmt.Sprintf("item-%03d-%05d", step, smallItems-1-i)
		got := ask("GET", n.front, "/v1/items/"+id+"?id="+item, nil, nil, -1, 3*time.Second)
		w.log.line("body of %s from %s: status %d, %d bytes, error %v", item, n.name, got.status, len(got.body), got.err)
	}
	n := w.nodes[(accepted+1)%len(w.nodes)]
	got := ask("GET", n.front, "/v1/lots/"+id+"?afterRev=0", nil, nil, -1, 2*time.Second)
	w.log.line("results of %s from %s: status %d, %d bytes, error %v", id, n.name, got.status, len(got.body), got.err)
	got = ask("DELETE", n.front, "/v1/lots/"+id, nil, nil, -1, 2*time.Second)
	w.log.line("end of %s at %s: status %d, error %v", id, n.name, got.status, got.err)
}
