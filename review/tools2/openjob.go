package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

const (
	// openStatus is `statusS` in this case: the sheet's 120 s would not fit into its time.
	openStatus = 60 * time.Second
	// openSettle is `settleMs`.
	openSettle = time.Second
	openItems  = 40
	// readEvery is how often the results are read, as trainers do.
	readEvery = 2 * time.Second
	// openFor is for how long the job stays open.
	openFor = openStatus + 25*time.Second
)

type resultPage struct {
	Total   int `json:"total"`
	Results []struct {
		ID   string `json:"id"`
		Text string `json:"text"`
	} `json:"results"`
}

// openJob reads the results of a batch job that its trainer has not ended, for longer than statusS.
// Without trouble the trainer ends it, and reads it for statusS alone.
func openJob(log *record, trouble bool) []string {
	w := newWorld(log)
	w.status = openStatus
	defer w.close()
	w.startStore()
	for i := range 4 {
		w.addSampler(fmt.Sprintf("engine-%d", i), "pool", fmt.Sprintf("z%d", i%3+1), "m0", nil).Slots = 12
	}
	w.configure(1, []map[string]any{{
		"name": "jobs", "host": appHost, "pathPrefix": "/jobs/", "kind": "rollout", "service": "pool", "timeoutMs": 10000, "targetLatencyMs": 400,
		"priority": 1, "maxAttempts": 3, "maxQueueS": 40.0, "resultDueMs": 7500, "sticky": true, "resumable": true,
	}}, []map[string]any{{"name": "pool", "healthPath": "/health", "maxConns": 150, "protocol": "h1", "tls": false}})
	for i := range 3 {
		w.addNode(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("z%d", i+1))
	}
	w.awaitReady()
	const id = "7c41e09b52d6a3f8"
	body := jobBody(0, openItems)
	sent := time.Now()
	got := ask("POST", w.nodes[0].front, "/jobs/x", map[string]string{"Request-Id": id, "Content-Type": "application/json", "Deadline-Ms": "10000"}, bytes.NewReader(body), int64(len(body)), 10*time.Second)
	log.line("job submitted: status %d, error %v", got.status, got.err)
	if got.status != 202 {
		panic(errHarness{"job not accepted"})
	}
	until := openFor
	if !trouble {
		until = openStatus
	}
	var broken []string
	ended := false
	seen := make(map[string]string)
	for turn := 0; time.Since(sent) < until; turn++ {
		time.Sleep(readEvery)
		n := w.nodes[turn%len(w.nodes)]
		asked := time.Now()
		got := ask("GET", n.front, "/v1/lots/"+id+"?afterRev=0", nil, nil, -1, 3*time.Second)
		var page resultPage
		_ = json.Unmarshal(got.body, &page)
		log.line("%.1f s after it was sent, read from %s: status %d, %d of %d results, error %v", asked.Sub(sent).Seconds(), n.name, got.status, len(page.Results), page.Total, got.err)
		if asked.Sub(sent) > openSettle && (got.status == 404 || got.status == 410) {
			broken = append(broken, fmt.Sprintf("LOST: %s answers %d for a batch job that is open, %.1f s after it was sent", n.name, got.status, asked.Sub(sent).Seconds()))
		}
		for _, result := range page.Results {
			if before, found := seen[result.ID]; found && before != result.Text {
				broken = append(broken, "TWICE: another text for "+result.ID)
			}
			seen[result.ID] = result.Text
		}
		if !trouble && !ended && len(seen) == openItems {
			got := ask("DELETE", n.front, "/v1/lots/"+id, nil, nil, -1, 3*time.Second)
			log.line("job ended: status %d, error %v", got.status, got.err)
			ended = got.status == 200
		}
	}
	log.line("%d of %d results were read", len(seen), openItems)
	if len(seen) < openItems {
		panic(errHarness{"not all results were read"})
	}
	return broken
}
