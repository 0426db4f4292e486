package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/memnet"
)

// startNode serves at http://node; Serve's result comes through the channel.
func startNode(t *testing.T) (*Server, *memnet.Network, <-chan error) {
	network := memnet.NewNetwork()
	listener, err := network.Listen("node:80")
	if err != nil {
		t.Fatal(err)
	}
	server := newServer(&readiness{}, io.Discard)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	return server, network, served
}

// callerOf returns a client with connections of its own.
func callerOf(t *testing.T, network *memnet.Network) *http.Client {
	transport := &http.Transport{DialContext: network.Dialer("caller")}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// TestStopState counts in nobody once the stop has begun, also one that had
// passed the first check before, and is idle when the last has left.
func TestStopState(t *testing.T) {
	s := newStopState()
	first := s.enter()
	s.begin()
	second := s.enter()
	idleEarly := isClosed(s.idle)
	s.leave()
	if !first || second || idleEarly || !isClosed(s.idle) {
		t.Errorf("entered %t and %t, idle %t and %t", first, second, idleEarly, isClosed(s.idle))
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestPlannedStop begins a stop while requests are in flight over a network:
// they get their answers, waiting pulls answer at once, and new ones are
// refused until the server is gone.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, network, served := startNode(t)
		client := callerOf(t, network)
		started := time.Now()
		slow, pull := make(chan string, 1), make(chan string, 1)
		go func() { slow <- postPrompt(client, "slow") + fmt.Sprint(" after ", time.Since(started)) }()
		go func() {
			response, err := client.Get("http://node/v1/trainers/t/steps/1/samples?wait_ms=30000")
			pull <- statusOf(response, err) + fmt.Sprint(" after ", time.Since(started))
		}()
		time.Sleep(100 * time.Millisecond)
		if inFlight := server.InFlight(); inFlight != 2 {
			t.Errorf("%d in flight", inFlight)
		}
		server.BeginStop()
		refused := postPrompt(client, "x")
		if err := server.Wait(t.Context()); err != nil {
			t.Errorf("wait: %v", err)
		}
		if got := fmt.Sprint(<-slow, "; ", <-pull, "; ", refused); got != "200 after 1s; 200 after 100ms; 503" {
			t.Error(got)
		}
		if took := time.Since(started); took != time.Second+DefaultStopLinger {
			t.Errorf("stopped after %s", took)
		}
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
}

// TestStopMeetsRequestsOnKeptConnections sends requests on idle connections at
// the moments of the farewell and of the shutdown: each gets a refusal, or finds
// nobody there; none is sent and left without an answer.
func TestStopMeetsRequestsOnKeptConnections(t *testing.T) {
	for _, after := range []time.Duration{DefaultStopLinger - closeGrace, DefaultStopLinger} {
		synctest.Test(t, func(t *testing.T) {
			server, network, served := startNode(t)
			const callers = 20
			answers := make(chan string, callers)
			for range callers {
				client := callerOf(t, network)
				postPrompt(client, "x")
				go func() {
					time.Sleep(after)
					answers <- postPrompt(client, "x")
				}()
			}
			if err := server.Wait(t.Context()); err != nil {
				t.Error(err)
			}
			for range callers {
				answer := <-answers
				if refused := answer == "408" || answer == "503"; !refused && !strings.Contains(answer, memnet.ErrRefused.Error()) {
					t.Errorf("after %s: %s", after, answer)
				}
			}
			if err := <-served; err != nil {
				t.Error(err)
			}
		})
	}
}

func postPrompt(client *http.Client, prompt string) string {
	body := fmt.Sprintf(`{"pool":"app","deadline_ms":60000,"repeatable":true,"prompt":%q}`, prompt)
	return statusOf(client.Post("http://node/v1/requests", "application/json", strings.NewReader(body)))
}

func statusOf(response *http.Response, err error) string {
	if err != nil {
		return err.Error()
	}
	response.Body.Close()
	return fmt.Sprint(response.StatusCode)
}
