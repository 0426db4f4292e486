package upstream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestTimeoutClosesIdleConnections checks that the other idle connections to a backend
// are closed after a call that timed out, but not after one that its caller cancelled or
// that another attempt made superfluous.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	for _, test := range []struct {
		name  string
		cause error
		kept  int
	}{
		{"caller cancelled", context.Canceled, 1},
		{"another attempt answered first", nil, 1},
		{"silence", ErrSilent, 0},
		{"deadline", context.DeadlineExceeded, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			server := &pipeServer{head: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\n"}
			client, _ := openings(server)
			if err := call(t.Context(), client, false); err != nil {
				t.Fatal(err)
			}
			server.delay = 2 * minSilence
			ctx, cancel := context.WithCancelCause(t.Context())
			time.AfterFunc(minSilence+time.Millisecond, func() { cancel(test.cause) })
			if err := call(ctx, client, true); FateOf(err) != Unknown {
				t.Errorf("%s: call returned %v, want fate unknown", test.name, err)
			}
			if kept := client.Idle(); kept != test.kept {
				t.Errorf("%s: %d idle connections, want %d", test.name, kept, test.kept)
			}
			client.Sweep(func(string, string) bool { return false })
			time.Sleep(2 * minSilence)
		})
	}
}
