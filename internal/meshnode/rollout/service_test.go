package rollout

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

const (
	testTrainer = "titles"
	testStep    = 7
	testSamples = 24
)

// cluster is two nodes, their platform, and a trainer that goes from one node
// to the other when it is refused.
type cluster struct {
	t           *testing.T
	platform    *fakePlatform
	runner      *fakeRunner
	connections [2]*connection
	nodes       [2]*Service
	at          int
	cursor      int64
	version     int64
	done        bool
	epochs      []int64
	taken       map[int]int
	breaches    []string
}

func newCluster(t *testing.T, faults Faults) *cluster {
	c := &cluster{t: t, platform: newFakePlatform(), runner: &fakeRunner{version: 1}, version: 1, taken: make(map[int]int)}
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	for i := range c.nodes {
		c.connections[i] = &connection{fakePlatform: c.platform}
		c.nodes[i] = NewService(lg, Config{
			Node: fmt.Sprintf("n%d", i+1), Address: fmt.Sprintf("127.0.0.1:%d", i+1),
			Table: c.connections[i], Objects: c.connections[i], Runner: c.runner, Scorer: &fakeScorer{}, Faults: faults, Concurrency: 8,
		})
		t.Cleanup(c.nodes[i].Close)
	}
	return c
}

// inCluster plays a story in virtual time.
func inCluster(t *testing.T, play func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) { play(t, newCluster(t, Faults{})) })
}

func testSpec() api.StepRequest {
	return api.StepRequest{Pool: "llm", Prompts: []string{"a", "b", "c"}, SamplesPerPrompt: testSamples / 3, MaxTokens: 10, VersionBound: 1}
}

func (c *cluster) post() {
	c.t.Helper()
	if _, err := c.nodes[0].Post(c.t.Context(), testTrainer, testStep, testSpec()); err != nil {
		c.t.Fatal(err)
	}
}

// pull pulls once at a node, takes what it gets and returns the error.
func (c *cluster) pull(node int) *api.Error {
	answer, err := c.nodes[node].Pull(c.t.Context(), testTrainer, testStep, PullQuery{Cursor: c.cursor, Version: c.version, Limit: 3, Wait: time.Second})
	if err != nil {
		return err
	}
	if len(c.epochs) > 0 && answer.Epoch < slices.Max(c.epochs) && len(answer.Samples) > 0 {
		c.breaches = append(c.breaches, fmt.Sprintf("epoch %d handed out after epoch %d", answer.Epoch, slices.Max(c.epochs)))
	}
	c.epochs = append(c.epochs, answer.Epoch)
	if committed := c.platform.record().Committed; answer.NextCursor > committed {
		c.breaches = append(c.breaches, fmt.Sprintf("positions up to %d were handed out, %d are committed", answer.NextCursor, committed))
	}
	for _, sample := range answer.Samples {
		c.taken[sample.Index]++
		if oldest, named := sample.OldestVersion(); !named || c.version-oldest > 1 {
			c.breaches = append(c.breaches, fmt.Sprintf("index %d of version %d taken at version %d", sample.Index, oldest, c.version))
		}
		if sample.Score != fakeScore {
			c.breaches = append(c.breaches, fmt.Sprintf("index %d has no score", sample.Index))
		}
	}
	c.cursor, c.done = answer.NextCursor, answer.Done
	return nil
}

// train pulls and acknowledges until the step is done or the time has passed.
func (c *cluster) train(limit time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(limit); !c.done && time.Now().Before(end); {
		if err := c.pull(c.at); err != nil {
			c.at = 1 - c.at
			time.Sleep(max(100*time.Millisecond, api.Milliseconds(err.RetryAfterMS)/2))
			continue
		}
		_, _ = c.nodes[c.at].Ack(c.t.Context(), testTrainer, testStep, c.cursor)
	}
}

// judge returns what broke a promise.
func (c *cluster) judge() []string {
	for index := range testSamples {
		if c.taken[index] != 1 {
			c.breaches = append(c.breaches, fmt.Sprintf("index %d was delivered %d times", index, c.taken[index]))
		}
	}
	if epochs := c.platform.writtenEpochs(); !slices.IsSorted(epochs) {
		c.breaches = append(c.breaches, fmt.Sprintf("the row's epoch went back: %v", epochs))
	}
	requests := c.runner.started()
	slices.Sort(requests)
	if len(slices.Compact(slices.Clone(requests))) != len(requests) {
		c.breaches = append(c.breaches, "a request id was used twice")
	}
	return c.breaches
}

func (c *cluster) mustHold() {
	c.t.Helper()
	if !c.done {
		c.t.Errorf("the step is not done, cursor %d", c.cursor)
	}
	for _, breach := range c.judge() {
		c.t.Error(breach)
	}
}

func TestStepIsServedAndCleanedUp(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.platform.limited = 3
		c.runner.refuse = 2
		c.post()
		c.post()
		other := testSpec()
		other.MaxTokens++
		for _, node := range c.nodes {
			if _, err := node.Post(t.Context(), testTrainer, testStep, other); err == nil || err.Code != api.CodeDuplicateStep {
				t.Errorf("another specification: %v", err)
			}
		}
		if err := c.pull(1); err == nil || err.Code != api.CodeNotOwner || err.RetryAfterMS == 0 {
			t.Errorf("pull at another node: %v", err)
		}
		synctest.Wait()
		if status := c.nodes[0].Steps(); len(status) != 1 || status[0].Running != 8 || !status[0].LeaseValid {
			t.Errorf("status %+v", status)
		}
		c.train(time.Minute)
		c.mustHold()
		synctest.Wait()
		if len(c.platform.objects) != 0 || !c.platform.record().Done || len(c.nodes[0].Steps()) != 0 {
			t.Errorf("left behind: %d objects, record %+v", len(c.platform.objects), c.platform.record())
		}
		if _, err := c.nodes[1].Pull(t.Context(), testTrainer, testStep+1, PullQuery{}); err == nil || err.Code != api.CodeUnknownStep {
			t.Errorf("unknown step: %v", err)
		}
	})
}

// TestOwnerDies kills the owner at each moment of its second manifest, and
// after a hand-out that was never acknowledged.
func TestOwnerDies(t *testing.T) {
	for _, when := range []moment{beforeObject, afterObject, beforeCommit, afterCommit} {
		t.Run(string(when), func(t *testing.T) {
			inCluster(t, func(t *testing.T, c *cluster) {
				killAt(c, when, 2)
				c.post()
				c.train(2 * time.Minute)
				c.mustHold()
				synctest.Wait()
				if record := c.platform.record(); record.Epoch != 2 || len(c.platform.objects) != 0 {
					t.Errorf("epoch %d, want 2; objects left: %d", record.Epoch, len(c.platform.objects))
				}
			})
		})
	}
	t.Run("after hand-out before acknowledgement", func(t *testing.T) {
		inCluster(t, func(t *testing.T, c *cluster) {
			c.post()
			for c.cursor == 0 {
				if err := c.pull(0); err != nil {
					t.Fatal(err)
				}
			}
			c.nodes[0].Close()
			c.train(2 * time.Minute)
			c.mustHold()
		})
	})
}

// killAt kills the first node at the count-th such moment.
func killAt(c *cluster, when moment, count int64) {
	var seen atomic.Int64
	c.connections[0].strike = func(m moment) error {
		if m != when || seen.Add(1) != count {
			return nil
		}
		c.nodes[0].cancel()
		return errors.Join(storeclient.ErrUncertain, context.Canceled)
	}
}

// TestPostWhileTheStoreIsDown posts while the store can't be written, first
// unreachable and then only slow to answer.
func TestPostWhileTheStoreIsDown(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.platform.setDown(true)
		if _, err := c.nodes[0].Post(t.Context(), testTrainer, testStep, testSpec()); err == nil || err.Outcome != api.OutcomeRefused {
			t.Errorf("post with the store down: %v", err)
		}
		c.platform.setDown(false)
		wake := make(chan struct{})
		c.connections[0].set(func() { c.connections[0].stalled = wake })
		for range 2 {
			if _, err := c.nodes[0].Post(t.Context(), testTrainer, testStep, testSpec()); err == nil || err.Outcome != api.OutcomeUnknown {
				t.Errorf("post whose fate is open: %v", err)
			}
		}
		c.connections[0].set(func() { c.connections[0].stalled = nil })
		close(wake)
		time.Sleep(time.Second)
		c.post()
		c.train(30 * time.Second)
		c.mustHold()
		if epoch := c.platform.record().Epoch; epoch != 1 {
			t.Errorf("epoch %d: the step waited for a takeover", epoch)
		}
	})
}

func TestCommitAnswersAreLost(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		var calls atomic.Int64
		c.connections[0].strike = func(m moment) error {
			if (m == afterCommit || m == afterObject) && calls.Add(1)%2 == 1 {
				return storeclient.ErrUncertain
			}
			return nil
		}
		c.post()
		c.train(time.Minute)
		c.mustHold()
		if epoch := c.platform.record().Epoch; epoch != 1 {
			t.Errorf("epoch %d: a lost answer cost the step", epoch)
		}
	})
}

// TestStoreDown takes the store away for longer than a lease: samples go on,
// nothing new is handed out, and all is there once the store is back.
func TestStoreDown(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.post()
		c.platform.setDown(true)
		c.train(5 * DefaultLease)
		if len(c.taken) != 0 {
			t.Errorf("%d samples were handed out that no manifest holds", len(c.taken))
		}
		if status := c.nodes[0].Steps(); len(status) != 1 || status[0].Finished != testSamples || status[0].LeaseValid {
			t.Errorf("status %+v", status)
		}
		started := len(c.runner.started())
		c.platform.setDown(false)
		c.train(time.Minute)
		c.mustHold()
		if len(c.runner.started()) != started {
			t.Errorf("%d samples were generated again", len(c.runner.started())-started)
		}
	})
}

// TestTrainerAdvances publishes versions while samples wait to be taken.
func TestTrainerAdvances(t *testing.T) {
	history := func(t *testing.T, faults Faults) []string {
		c := newCluster(t, faults)
		c.post()
		for range 3 {
			c.train(2 * time.Second)
			time.Sleep(time.Second)
			c.version += 2
			c.runner.setVersion(c.version)
			for _, node := range c.nodes {
				node.SetTrainerVersion(testTrainer, "llm", c.version)
			}
		}
		c.train(2 * time.Minute)
		return c.judge()
	}
	bothWays(t, Faults{SkipVersionCheck: true}, "taken at version", history)
}

// TestPausedOwner pauses the owner until another node has taken over, with
// samples left that it committed and with a manifest on the way, and asks it
// again when it wakes.
func TestPausedOwner(t *testing.T) {
	history := func(t *testing.T, faults Faults) []string {
		c := newCluster(t, faults)
		c.post()
		for c.cursor == 0 {
			if err := c.pull(0); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		wake := make(chan struct{})
		c.connections[0].set(func() { c.connections[0].stalled = wake })
		for range 30 {
			_ = c.pull(1)
			if len(c.epochs) > 0 && slices.Max(c.epochs) == 2 {
				break
			}
			time.Sleep(time.Second)
		}
		_ = c.pull(0)
		c.connections[0].set(func() { c.connections[0].stalled = nil })
		close(wake)
		_ = c.pull(0)
		c.at = 1
		c.train(2 * time.Minute)
		return c.judge()
	}
	bothWays(t, Faults{IgnoreLease: true}, "epoch 1 handed out after epoch 2", history)
	bothWays(t, Faults{IgnoreFence: true}, "the row's epoch went back", history)
}

func TestAttemptsAreNeverNumberedTwice(t *testing.T) {
	bothWays(t, Faults{ReuseAttempts: true}, "a request id was used twice", func(t *testing.T, faults Faults) []string {
		c := newCluster(t, faults)
		killAt(c, beforeObject, 1)
		c.post()
		c.train(2 * time.Minute)
		return c.judge()
	})
}

// TestHandOutWaitsForTheCommit kills the owner before its first commit has
// taken effect while the trainer pulls.
func TestHandOutWaitsForTheCommit(t *testing.T) {
	bothWays(t, Faults{HandOutBeforeCommit: true}, "0 are committed", func(t *testing.T, faults Faults) []string {
		c := newCluster(t, faults)
		c.connections[0].strike = func(m moment) error {
			if m == beforeCommit {
				return storeclient.ErrUncertain
			}
			return nil
		}
		c.post()
		for range 5 {
			_ = c.pull(0)
		}
		c.nodes[0].Close()
		c.train(2 * time.Minute)
		return c.judge()
	})
}

// bothWays asserts that a history shows the wanted breach with the faults and
// none at all without.
func bothWays(t *testing.T, faults Faults, want string, history func(*testing.T, Faults) []string) {
	t.Run(want, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			breaches := history(t, faults)
			found := slices.ContainsFunc(breaches, func(breach string) bool { return strings.Contains(breach, want) })
			if !found {
				t.Errorf("the breach was not found with the mechanism off, only %v", breaches)
			}
		})
		synctest.Test(t, func(t *testing.T) {
			for _, breach := range history(t, Faults{}) {
				t.Error(breach)
			}
		})
	})
}

// TestCostOfALargeStep logs what a step of 8,192 samples asks of the platform.
func TestCostOfALargeStep(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		node := NewService(logrus.New(), Config{Node: "n3", Table: c.connections[0], Objects: c.connections[0], Runner: c.runner})
		defer node.Close()
		spec := api.StepRequest{Pool: "llm", Prompts: make([]string, 512), SamplesPerPrompt: 16, VersionBound: 1}
		if _, err := node.Post(t.Context(), testTrainer, testStep, spec); err != nil {
			t.Fatal(err)
		}
		begin, taken, largest := time.Now(), 0, 0
		for query := (PullQuery{Version: 1, Wait: time.Second}); ; {
			answer, err := node.Pull(t.Context(), testTrainer, testStep, query)
			if err != nil {
				t.Fatal(err)
			}
			taken += len(answer.Samples)
			query.Cursor = answer.NextCursor
			if _, err := node.Ack(t.Context(), testTrainer, testStep, query.Cursor); err != nil {
				t.Fatal(err)
			}
			largest = max(largest, len(c.platform.row()))
			if answer.Done {
				break
			}
		}
		if taken != spec.SampleCount() {
			t.Errorf("%d of %d samples", taken, spec.SampleCount())
		}
		t.Logf("%s: %d object writes, %d row writes, largest row %d bytes", time.Since(begin), c.platform.objectWrites, len(c.platform.writtenEpochs()), largest)
	})
}

func TestHandOver(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		c.post()
		c.train(time.Second)
		before := time.Now()
		c.nodes[0].HandOver(t.Context())
		if took := time.Since(before); took > 3*time.Second {
			t.Errorf("took %s", took)
		}
		record := c.platform.record()
		if record.Owner != "" || record.Committed != int64(len(c.runner.started())) {
			t.Errorf("owner %q, %d of %d samples committed", record.Owner, record.Committed, len(c.runner.started()))
		}
		c.nodes[0].Close()
		if err := c.pull(1); err != nil {
			t.Errorf("the other node does not take over at once: %v", err)
		}
		c.at = 1
		c.train(time.Minute)
		c.mustHold()
	})
}
