package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// item is an item of a batch job as a trainer sends it.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

// lot is a batch job as a trainer sends it.
type lot struct {
	Step       int    `json:"step"`
	Model      string `json:"model"`
	MinVersion int64  `json:"minVersion"`
	Desired    int    `json:"desired"`
	Items      []item `json:"items"`
}

func newItem(id, group string, events int) item {
	return item{
		ID: id, Path: fmt.Sprintf("/jobs/%d/%s", events, id), Group: group, Tokens: 1016 + 58*events, Body: []byte("body of " + id),
		Headers: map[string]string{"Model": "model", "Token-Count": fmt.Sprintf("1016,%d", 58*events), "Length-Hint": fmt.Sprint(58 * events)},
	}
}

// result is a listed result.
type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"nextToken"`
	Results []result `json:"results"`
}

// configuration is that of a small deployment: a route of batch jobs over the model samplers.
func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "jobs", "host": callerHost, "pathPrefix": "/jobs/", "kind": "rollout", "service": "pool", "timeoutMs": 10000,
			"targetLatencyMs": 400, "maxAttempts": 3, "maxQueueS": 40.0, "resultDueMs": 7500, "priority": 1,
		}},
		"services": []map[string]any{{"name": "pool", "healthPath": "/health", "maxConns": 150}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 25, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
	}
}

// submit sends a batch job until it is accepted.
func (s *system) submit(id string, job lot) error {
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	for try := range 5 {
		gateway := try % len(s.gateways)
		header := map[string]string{"Request-Id": id, "Deadline-Ms": "4000", "Content-Type": "application/json"}
		status, _, err := s.call(gateway, http.MethodPost, "/jobs/"+id, header, body, 5*time.Second)
		s.note("job %s sent to front-%d: %d %v", id, gateway+1, status, err)
		if status == http.StatusAccepted {
			return nil
		}
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// read reads a page of results from a position on.
func (s *system) read(gateway int, id string, after int) (page, error) {
	status, content, err := s.call(gateway, http.MethodGet, fmt.Sprintf("/v1/lots/%s?afterRev=%d", id, after), map[string]string{"Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
	if err != nil {
		return page{}, err
	}
	if status != http.StatusOK {
		return page{}, fmt.Errorf("status %d", status)
	}
	var found page
	return found, json.Unmarshal(content, &found)
}

// finish ends a batch job.
func (s *system) finish(id string) {
	status, _, err := s.call(0, http.MethodDelete, "/v1/lots/"+id, nil, nil, 5*time.Second)
	s.note("job %s ended by the trainer: %d %v", id, status, err)
}

const readPause = 500 * time.Millisecond

// follow reads results until all items are listed or the deadline, and ends the job.
func (s *system) follow(id string, deadline time.Time) (map[string]result, bool) {
	listed, after, total := make(map[string]result), 0, -1
	for turn := 0; time.Now().Before(deadline); turn++ {
		found, err := s.read(turn%len(s.gateways), id, after)
		if err != nil {
			s.note("reading %s: %v", id, err)
		} else {
			total = found.Total
			for _, r := range found.Results {
				listed[r.ID] = r
			}
			if len(found.Results) > 0 {
				s.note("job %s: %d of %d items listed", id, len(listed), total)
			}
			after = found.Next
		}
		if len(listed) == total {
			break
		}
		time.Sleep(readPause)
	}
	s.finish(id)
	return listed, len(listed) == total
}
