package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	plainRequests = 60
	plainLimit    = 5 * time.Second
	failBody      = 3 << 19
)

// runPlain sends requests to a stream route of which one sampler of seven fails two of five
// with a body of 1.5 MiB. It judges whether a caller gets a part of that body as a whole answer.
func runPlain([]string) int {
	s, err := newSystem()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.stop()
	if os.Getenv("TROUBLE") != "0" {
		if _, err := s.addSampler("", "--fail-bytes", fmt.Sprint(failBody)); err != nil {
			return exitFailed
		}
	}
	if err := s.prepare(soundSamplers, 2); err != nil {
		s.note("could not run: %v", err)
		return exitFailed
	}
	changed := configuration()
	changed["version"] = 2
	changed["routes"] = append(changed["routes"].([]map[string]any), map[string]any{
		"name": "chat", "host": callerHost, "pathPrefix": "/chat/", "kind": "stream", "service": "pool", "timeoutMs": 5000,
		"targetLatencyMs": 400, "maxAttempts": 3, "priority": 0, "resumable": false,
	})
	if err := s.operator("config", changed); err != nil {
		return exitFailed
	}
	time.Sleep(contact)
	var group sync.WaitGroup
	var broken atomic.Int64
	for i := range plainRequests {
		group.Go(func() {
			id := fmt.Sprintf("request%02d", i)
			header := map[string]string{"Request-Id": id, "Deadline-Ms": "4000", "Model": "model"}
			status, content, err := s.call(i%2, http.MethodPost, "/chat/10/"+id, header, []byte("body"), plainLimit)
			if status != http.StatusOK || err != nil {
				s.note("%s: %d, %d bytes, error %v", id, status, len(content), err)
			}
			if status == http.StatusInternalServerError && err == nil && len(content) > 0 && len(content) < failBody {
				broken.Add(1)
			}
		})
	}
	group.Wait()
	s.note("%d requests, %d answers that are cut and look whole", plainRequests, broken.Load())
	if broken.Load() > 0 {
		s.note("BROKEN: MIXED: an answer that was cut short looks complete")
		return exitBroken
	}
	return exitHeld
}
