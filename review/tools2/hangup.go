package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	hangupClients  = 4
	hangupWork     = 190 * time.Millisecond
	hangupDeadline = "2000"
	hangupLimit    = 2 * time.Second
)

// sentRequest is a request of a client and how it ended.
type sentRequest struct {
	id   string
	at   time.Time
	node *node
	got  answer
}

// hangup stops the nodes one after the other, as a roll-out does, and tells each that its
// settings file has changed while it stops.
func hangup(log *record, trouble bool) []string {
	w := newWorld(log)
	defer w.close()
	w.startStore()
	for i := range 3 {
		w.addSampler(fmt.Sprintf("app-%d", i), "app", fmt.Sprintf("z%d", i+1), "", nil).Gap = hangupWork
	}
	w.configure(1, []map[string]any{{
		"name": "app", "host": appHost, "pathPrefix": "/app/", "kind": "safe", "service": "app", "timeoutMs": 2000, "targetLatencyMs": 400, "priority": 2, "maxAttempts": 2,
	}}, []map[string]any{{"name": "app", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}})
	for i := range 3 {
		w.addNode(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("z%d", i+1))
	}
	w.awaitReady()
	var mu sync.Mutex
	var sent []sentRequest
	for turn, n := range w.nodes {
		stopping := time.Now()
		n.signal(syscall.SIGTERM)
		ended := n.ending()
		var clients sync.WaitGroup
		// Clients that still hold the address ask the node while it takes new connections.
		for c := range hangupClients {
			clients.Go(func() {
				for i := 0; time.Since(stopping) < 1500*time.Millisecond; i++ {
					id := fmt.Sprintf("%d-%d-%d", turn, c, i)
					at := time.Now()
					got := ask("GET", n.front, "/app/page", map[string]string{"Request-Id": id, "Deadline-Ms": hangupDeadline}, nil, -1, hangupLimit)
					mu.Lock()
					sent = append(sent, sentRequest{id, at, n, got})
					mu.Unlock()
					log.line("%s: request %s sent at %.3f: status %d, error %v", n.name, id, at.Sub(log.began).Seconds(), got.status, got.err)
					if got.err != nil {
						return
					}
				}
			})
		}
		time.Sleep(time.Second)
		if trouble {
			n.signal(syscall.SIGHUP)
		}
		clients.Wait()
		select {
		case <-ended:
		case <-time.After((graceSeconds + 1) * time.Second):
			log.line("%s: did not end within its grace", n.name)
		}
		time.Sleep(restartDelay)
		w.awaitReady()
	}
	var broken []string
	for _, s := range sent {
		ran := w.runsOf(s.id)
		if s.got.err != nil && ran > 0 {
			log.line("LOST: request %s to %s ran %d times and its connection ended without an answer: %v", s.id, s.node.name, ran, s.got.err)
			broken = append(broken, fmt.Sprintf("LOST: request %s to %s was passed on and not answered", s.id, s.node.name))
		}
	}
	log.line("%d requests sent, %d lost", len(sent), len(broken))
	return broken
}
