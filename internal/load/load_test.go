package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// script answers the requests to two nodes and a weight store with its lines,
// in order, and logs what arrived.
type script struct {
	mu    sync.Mutex
	begun time.Time
	lines []string
	log   strings.Builder
}

var randomID = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)

// ids replaces random ids by their number of appearance.
func ids(text string) string {
	seen := map[string]string{}
	return randomID.ReplaceAllStringFunc(text, func(id string) string {
		if seen[id] == "" {
			seen[id] = fmt.Sprintf("id%d", len(seen)+1)
		}
		return seen[id]
	})
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	line := s.next(r, strings.TrimSpace(string(body)))
	verb, rest, _ := strings.Cut(line, " ")
	switch verb {
	case "lost":
		panic(http.ErrAbortHandler)
	case "refuse":
		var code string
		var retryAfter int64
		fmt.Sscan(rest, &code, &retryAfter)
		httpjson.WriteError(w, api.Refusal(http.StatusServiceUnavailable, api.Code(code), retryAfter, "scripted"))
	case "fail":
		httpjson.WriteError(w, &api.Error{Code: api.CodeBackendFailed, Outcome: api.OutcomeFailed, RetryAfterMS: 10, Status: http.StatusBadGateway})
	default:
		io.WriteString(w, line)
	}
}

func (s *script) next(r *http.Request, body string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.log, "%s %s %s %s %s\n", time.Since(s.begun), r.Host, r.Method, r.URL.RequestURI(), body)
	if len(s.lines) == 0 {
		return "refuse internal_end_of_script 0"
	}
	line := s.lines[0]
	s.lines = s.lines[1:]
	return line
}

// withScript runs drive in a bubble of virtual time against the scripted nodes
// n1 and n2.
func withScript(t *testing.T, lines []string, drive func(ctx context.Context, client *http.Client, sink history.Sink) string) string {
	var output string
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		story := &script{begun: time.Now(), lines: lines}
		for _, host := range []string{"n1:1", "n2:1"} {
			if len(lines) > 0 && lines[0] == host+" is down" {
				story.lines = lines[1:]
				continue
			}
			listener, err := network.Listen(host)
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: story}
			go server.Serve(listener)
			defer server.Close()
		}
		transport := &http.Transport{DialContext: network.Dialer("client"), DisableKeepAlives: true}
		sink := &history.MemorySink{}
		result := drive(t.Context(), &http.Client{Transport: transport}, sink)
		var events strings.Builder
		for _, event := range sink.Events() {
			fmt.Fprintf(&events, "%s %s%s%s\n", event.Kind, event.RequestID, event.Key, eventDetail(event))
		}
		output = ids(story.log.String() + events.String() + result)
	})
	return output
}

func eventDetail(event history.Event) string {
	switch event.Kind {
	case history.KindRequestSent:
		return " to " + event.Node
	case history.KindRequestAnswered:
		return fmt.Sprintf(" %s from %s cut=%d", event.Outcome, event.Node, event.Cut)
	case history.KindStepPosted:
		return fmt.Sprintf(" count=%d bound=%d", event.Count, event.VersionBound)
	case history.KindSampleDelivered:
		return fmt.Sprintf(" index=%d trainer_version=%d", event.Index, event.TrainerVersion)
	}
	return ""
}

var nodeList = []Node{{Name: "n1", Address: "n1:1"}, {Name: "n2", Address: "n2:1"}}

type weightStub struct{}

func (weightStub) PutWeights(context.Context, api.WeightVersion) error { return nil }
func (weightStub) GetWeights(context.Context, string, int64) (api.WeightVersion, error) {
	return api.WeightVersion{}, nil
}

// TestStories plays what nodes answer and shows what clients then send and
// record.
func TestStories(t *testing.T) {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			lines := strings.Split(strings.TrimSpace(d.Input), "\n")
			return withScript(t, lines, func(ctx context.Context, client *http.Client, sink history.Sink) string {
				if d.Cmd == "caller" {
					return callerStory(ctx, client, sink, d.HasArg("repeatable"))
				}
				return trainerStory(ctx, lg, client, sink, d.HasArg("publish"))
			})
		})
	})
}

func callerStory(ctx context.Context, client *http.Client, sink history.Sink, repeatable bool) string {
	caller := NewCaller(CallerConfig{
		Name: "bookings", Nodes: nodeList, Pool: "booking",
		Repeatable: repeatable, Deadline: time.Second, Attempts: 3,
	}, client, sink)
	answer := caller.Send(ctx, "visit")
	return fmt.Sprintf("= %s after %d sendings\n", answer.Outcome, answer.Sendings)
}

func trainerStory(ctx context.Context, lg *logrus.Logger, client *http.Client, sink history.Sink, publish bool) string {
	trainer := NewTrainer(lg, TrainerConfig{
		Name: "titles", Nodes: nodeList, Pool: "lm", Model: "m",
		Version: 4, VersionBound: 1, SamplesPerPrompt: 2, PullLimit: 8, PullWait: time.Second,
	}, client, weightStub{}, sink)
	if publish {
		response, err := trainer.Publish(ctx, 5)
		if err != nil {
			return fmt.Sprintf("= %v\n", err)
		}
		return fmt.Sprintf("= revision %d, version %d\n", response.Revision, trainer.Version())
	}
	batch, err := trainer.RunStep(ctx, 7, []string{"p"})
	if err != nil {
		return fmt.Sprintf("= %v\n", err)
	}
	return fmt.Sprintf("= %d samples, largest lag %d, stale answers %d\n", len(batch.Samples), batch.OldestLag, batch.Stale)
}

// TestOpenLoopCountsFromThePlannedBeginning lets every request take longer than
// the interval while one slot is free: latencies must show the queue.
func TestOpenLoopCountsFromThePlannedBeginning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(context.Context, int64) api.Outcome {
			time.Sleep(200 * time.Millisecond)
			return api.OutcomeCompleted
		}
		cfg := RunConfig{Concurrency: 1, Rate: 10, Duration: time.Second}
		report := NewRunner(cfg, slow).Run(t.Context()).Report("slow")
		if report.Completed < 5 || report.MaxMS < 500 {
			t.Errorf("got %+v, want latencies that grow with the queue", report)
		}
	})
}

func TestClosedLoopKeepsItsConcurrencyAndCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var inFlight, highest atomic.Int64
		send := func(_ context.Context, number int64) api.Outcome {
			highest.Store(max(highest.Load(), inFlight.Add(1)))
			defer inFlight.Add(-1)
			time.Sleep(10 * time.Millisecond)
			if number%2 == 0 {
				return api.OutcomeRefused
			}
			return api.OutcomeCompleted
		}
		cfg := RunConfig{Concurrency: 4, Duration: time.Minute, Requests: 20}
		report := NewRunner(cfg, send).Run(t.Context()).Report("x")
		if report.Total() != 20 || report.Refused != 10 || highest.Load() != 4 || report.Seconds != 0.05 {
			t.Errorf("got %+v with up to %d in flight", report, highest.Load())
		}
	})
}

func TestCompareTellsWhatTheNodeAdds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		after := func(delay time.Duration) Sender {
			return func(context.Context, int64) api.Outcome {
				time.Sleep(delay)
				return api.OutcomeCompleted
			}
		}
		cfg := RunConfig{Concurrency: 2, Duration: 4 * time.Second}
		got := Compare(t.Context(), cfg, after(20*time.Millisecond), after(10*time.Millisecond))
		if got.ThroughputRatio != 0.5 || got.AddedP50MS < 9.9 || got.AddedP50MS > 10.1 {
			t.Errorf("got %+v", got)
		}
	})
}
