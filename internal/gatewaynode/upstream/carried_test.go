package upstream

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
)

// TestConnectionIsClosedWhenItsIDsAreMany checks that the ids of a connection are bounded by its
// calls, not by forgetting the oldest: their answers may come once more at any time.
func TestConnectionIsClosedWhenItsIDsAreMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, causes := openings(&pipeServer{head: "HTTP/1.1 200 OK\r\n"})
		for range 2*maxCarried + 1 {
			if err := call(t.Context(), client, false); err != nil {
				t.Fatal(err)
			}
		}
		if got := len(*causes); got != 3 {
			t.Errorf("%d connections for %d calls, want 3", got, 2*maxCarried+1)
		}
		client.Sweep(func(string, string) bool { return false })
	})
}

// TestPollsShareAConnection checks that reading the state of a backend again and again does not
// open a connection each time.
func TestPollsShareAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, causes := openings(&pipeServer{head: "HTTP/1.1 200 OK\r\nX-"})
		for range 3 {
			answer, err := client.Do(t.Context(), &Call{Unnumbered: true, Poll: true, Method: http.MethodGet, Target: "/", Address: "b:1"})
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(answer.Body)
		}
		if got := len(*causes); got != 1 {
			t.Errorf("%d connections for three polls, want 1", got)
		}
		client.Sweep(func(string, string) bool { return false })
	})
}

func TestCarried(t *testing.T) {
	var ids carried
	for i := range maxCarried {
		if ids.has(strconv.Itoa(i)) || ids.full() {
			t.Fatalf("after %d ids: has the next %t, full %t", i, ids.has(strconv.Itoa(i)), ids.full())
		}
		ids.add(strconv.Itoa(i))
	}
	if !ids.has("0") || !ids.full() {
		t.Errorf("after %d ids: has the first %t, full %t", maxCarried, ids.has("0"), ids.full())
	}
}
