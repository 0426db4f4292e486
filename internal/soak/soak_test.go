package soak

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sliplift/sliplift/platform/standin"
)

// TestJudgeFindsBreaches: each row breaks one promise, and the judge says so; the first
// breaks none.
func TestJudgeFindsBreaches(t *testing.T) {
	const item = "job-1-0"
	whole := Result{ID: item, State: "completed", Text: wholeText(item), Versions: []int64{2}}
	run := standin.Run{Sampler: "engine-1", ID: item, Versions: []int64{2, 2}, Tenant: "tenant-1"}
	live := standin.Run{Sampler: "app-1", ID: "unsafe-1", Tenant: "tenant-2"}
	answered := Answer{Kind: "unsafe", Tenant: "tenant-2", Status: 200, Body: "answer to unsafe-1", Stamp: standin.Stamp("app-1", "unsafe-1")}
	began := time.Unix(1000, 0)
	order := func(holder string, fence int64, after time.Duration) standin.Order {
		return standin.Order{Holder: holder, Fence: fence, At: began.Add(after), Status: 202}
	}
	// sound is what was seen in a run that broke nothing.
	type seen struct {
		results []Result
		again   []Result
		runs    []standin.Run
		answer  Answer
		orders  []standin.Order
		usage   map[int64]standin.Usage
		taken   []string
		denied  int
	}
	for _, test := range []struct {
		name   string
		change func(s *seen)
		says   string
	}{
		{"nothing", func(*seen) {}, ""},
		{"another result at a position", func(s *seen) { s.again = []Result{{ID: item, State: "dead"}} }, "position 0"},
		{"an item at two positions", func(s *seen) { s.results = append(s.results, whole) }, "stands at"},
		{"a job denied", func(s *seen) { s.denied = 401 }, "401 for job-1"},
		{"an item lost", func(s *seen) { s.results, s.again = nil, nil }, "not listed"},
		{"a text that is cut", func(s *seen) {
			cut := whole
			cut.Text = cut.Text[:len(cut.Text)-1]
			s.results, s.again = []Result{cut}, nil
		}, "text of"},
		{"a version that made nothing", func(s *seen) { s.runs[0].Versions = []int64{1} }, "names version 2"},
		{"another request's answer", func(s *seen) { s.answer.Body = "answer to unsafe-2" }, "of no run of its own"},
		{"a stamp of no run", func(s *seen) { s.answer.Stamp = standin.Stamp("app-2", "unsafe-1") }, "of no run of its own"},
		{"refused and run", func(s *seen) { s.answer = Answer{Kind: "unsafe", Tenant: "tenant-2", Status: 503} }, "refused with 503"},
		{"denied", func(s *seen) {
			s.answer = Answer{Kind: "unsafe", Tenant: "tenant-2", Status: 404}
			s.runs = s.runs[:1]
		}, "denied with 404"},
		{"run twice", func(s *seen) { s.runs = append(s.runs, live) }, "ran 2 times"},
		{"cut by a planned stop", func(s *seen) { s.answer = Answer{Kind: "unsafe", Tenant: "tenant-2", CutByStop: true} }, "planned stop"},
		{"the key passed on", func(s *seen) { s.runs[1].Key = "key" }, "key reached"},
		{"another tenant", func(s *seen) { s.runs[0].Tenant = "tenant-2" }, "ran for tenant"},
		{"holders by turns", func(s *seen) { s.orders = append(s.orders, order("n2", 2, 2*time.Second)) }, "ordered 2s after"},
		{"one token of two holders", func(s *seen) { s.orders = append(s.orders, order("n2", 1, 9*time.Second)) }, "fencing token 1"},
		{"a token that goes back", func(s *seen) {
			s.orders = append(s.orders, order("n2", 2, 9*time.Second), order("n1", 1, 19*time.Second))
		}, "token 1 after 2"},
		{"a window with two counts", func(s *seen) { s.taken = []string{"two reports"} }, "two reports"},
		{"more than began", func(s *seen) { s.usage[1].Counts["tenant-2"] = 2 }, "2 requests of tenant-2"},
	} {
		s := &seen{
			results: []Result{whole}, again: []Result{whole}, runs: []standin.Run{run, live}, answer: answered,
			orders: []standin.Order{order("n1", 1, 0)}, usage: map[int64]standin.Usage{1: {Counts: map[string]int64{"tenant-2": 1}}},
		}
		test.change(s)
		judge := NewJudge()
		judge.Read("n1", "job-1", 0, s.results)
		judge.Read("n2", "job-1", 0, s.again)
		judge.Answered("unsafe-1", s.answer)
		if s.denied != 0 {
			judge.Denied("n1", "job-1", s.denied)
		}
		judge.Whole("job-1", []string{item})
		judge.Orders("engine-1", s.orders, settleTime, func(standin.Order) bool { return false })
		judge.Runs(s.runs, map[string]string{item: "tenant-1"})
		judge.Usage(s.usage, s.taken, s.runs)
		said := strings.Join(judge.Breaches(), "; ")
		if (test.says == "") != (said == "") || !strings.Contains(said, test.says) {
			t.Errorf("%s: the judge says %q, want %q", test.name, said, test.says)
		}
	}
}

// TestPlanComesFromTheSeed: a seed always gives the same faults, another one others, and
// the run ends without any.
func TestPlanComesFromTheSeed(t *testing.T) {
	const lasts = 2 * time.Minute
	plan := func(seed uint64) string {
		var text bytes.Buffer
		if err := writePlan(&text, seed, draw(seed, lasts)); err != nil {
			t.Fatal(err)
		}
		return text.String()
	}
	first, again, other := plan(3), plan(3), plan(4)
	if first != again || first == other {
		t.Error("the plan is not the seed's")
	}
	found := make(map[kind]bool)
	for seed := range uint64(20) {
		for _, f := range draw(seed, lasts) {
			found[f.kind] = true
			if f.at < calmFirst || f.at+f.lasts > lasts-calmLast+time.Second || f.way == passing {
				t.Errorf("seed %d: %s", seed, f)
			}
		}
	}
	if want := len(kinds) + len(zoneKinds) + len(workKinds) + len(harmlessKinds); len(found) != want {
		t.Errorf("%d kinds of faults of %d", len(found), want)
	}
}

// TestProxy: each row is a manner and what becomes of a connection that is open.
func TestProxy(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	for _, test := range []struct {
		way   manner
		comes bool
		ends  bool
	}{
		{passing, true, false}, {slowed, true, false}, {silent, false, false}, {deaf, false, false}, {refusing, false, true},
	} {
		p, err := newProxy(listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", p.address())
		if err != nil {
			t.Fatal(err)
		}
		echo := func(limit time.Duration) (bool, error) {
			// Failing to write is failing to be heard, which the read shows.
			_, _ = conn.Write([]byte("x"))
			_ = conn.SetReadDeadline(time.Now().Add(limit))
			count, err := conn.Read(make([]byte, 1))
			return count == 1, err
		}
		if heard, err := echo(5 * time.Second); !heard {
			t.Fatalf("%s: nothing comes back at first: %v", test.way, err)
		}
		p.set(test.way)
		limit := 300 * time.Millisecond
		if test.comes {
			limit = 5 * time.Second
		}
		heard, err := echo(limit)
		if timedOut := os.IsTimeout(err); heard != test.comes || test.ends != (err != nil && !timedOut) {
			t.Errorf("%s: heard %v, %v", test.way, heard, err)
		}
		p.set(passing)
		if test.way == silent || test.way == deaf {
			if heard, err := echo(5 * time.Second); !heard {
				t.Errorf("%s: what was held up does not come: %v", test.way, err)
			}
		}
		_ = conn.Close()
		p.close()
	}
}

// TestSoak plays short runs of seeds that failed once, or that play most kinds of
// faults, over processes that are built here. Each has to break nothing.
func TestSoak(t *testing.T) {
	playSeeds(t, regressionSeeds, Config{Nodes: 4, For: 35 * time.Second})
}

// regressionSeeds are the runs of TestSoak.
var regressionSeeds = []uint64{1}

// TestSoakOfOpenSeeds plays seeds that showed a fault, as they were played when they did; one
// whose fault is not mended has an entry in KNOWN-RED.txt.
//
// 4101: more requests of a tenant were reported than had begun to run at any back end, 283
// against 277 in one run beside load, and none in others. Requests without an answer counted
// as begun once they were sent, also where the back end's side had ended the connection
// without reading them. With the lines of the nodes' logs beside the runs of the back ends,
// three runs had 2,842 requests that counted and 2,318 that began, and 524 ids that counted and
// never came, each after "connection reset by peer" or "unexpected EOF". The judge saw the
// excess only where it was greater than the runs of batch items, which it takes for begun
// requests; Judge.Metered, which does not, broke for each tenant in each run.
func TestSoakOfOpenSeeds(t *testing.T) {
	playSeeds(t, openSeeds, Config{Nodes: 6, For: 50 * time.Second})
}

// openSeeds are the runs of TestSoakOfOpenSeeds.
var openSeeds = []uint64{4101}

// TestSoakOfSwallowedCalls plays a run in which the link to a back end, which other connections
// are refused by, takes calls for seconds, hands nothing on, and is cut then. The calls count as
// begun, as those of a back end that breaks down at work, and none began: the system on the
// other side of a connection of its own would leave their bytes unacknowledged, a proxy, as the
// soak's, acknowledges them. Of 12 runs side by side on five cores 10 had a tenant or more that was off by
// over a twentieth, by 7 to 13 requests.
func TestSoakOfSwallowedCalls(t *testing.T) {
	playSeeds(t, []uint64{7012}, Config{Nodes: 6, For: 50 * time.Second})
}

// playSeeds plays a run of each seed over processes that are built here.
func playSeeds(t *testing.T, seeds []uint64, config Config) {
	t.Helper()
	if testing.Short() {
		t.Skipf("plays for %s", config.For)
	}
	config.Gateway = buildGateway(t)
	for _, seed := range seeds {
		config.Seed = seed
		playSeed(t, config)
	}
}

func buildGateway(t *testing.T) string {
	t.Helper()
	gateway := filepath.Join(t.TempDir(), "sliplift-gateway")
	build := exec.Command("go", "build", "-o", gateway, "github.com/sliplift/sliplift/cmd/sliplift-gateway")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return gateway
}

// playSeed plays a run, which has to break nothing.
func playSeed(t *testing.T, config Config) {
	t.Helper()
	var out bytes.Buffer
	config.Directory, config.Out = t.TempDir(), &out
	report, err := Run(context.Background(), config)
	if err != nil {
		t.Fatalf("seed %d: %v", config.Seed, err)
	}
	if len(report.Breaches) > 0 || report.Counts["safe 200"] < 50 || report.Counts["submission 202"] < 5 {
		_ = report.Write(&out)
		t.Errorf("seed %d:\n%s", config.Seed, out.String())
	}
}
