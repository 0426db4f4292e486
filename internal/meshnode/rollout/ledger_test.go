package rollout

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/steptest"
)

// ledgerStory runs the commands of a story table over one step whose owner may
// change. Attempts are written as epoch/number.
type ledgerStory struct {
	config   LedgerConfig
	ledger   *Ledger
	now      time.Time
	objects  map[string][]api.Sample
	durable  Progress
	proposal Proposal
}

func TestLedgerStories(t *testing.T) {
	datadriven.Walk(t, "testdata/ledger", func(t *testing.T, path string) {
		story := &ledgerStory{now: time.Unix(0, 0), objects: make(map[string][]api.Sample)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return steptest.Run(t, d, func(t *testing.T, d *datadriven.TestData) string { return oneLine(story.run(t, d)) })
		})
	})
}

// oneLine joins the lines that a step prints.
func oneLine(text string) string {
	if text == "" {
		return ""
	}
	return strings.ReplaceAll(strings.TrimSpace(text), "\n", "; ") + "\n"
}

func (s *ledgerStory) run(t *testing.T, d *datadriven.TestData) string {
	number := func(name string) int64 {
		var value int64
		d.MaybeScanArgs(t, name, &value)
		return value
	}
	switch d.Cmd {
	case "new":
		s.config = LedgerConfig{
			Samples: int(number("samples")), Bound: number("bound"), Concurrency: int(number("concurrency")), Epoch: 1, BatchLimit: 100,
			TailShare: 0.25, RetryBackoff: time.Second, MaxRetryBackoff: 4 * time.Second, SecondAfter: time.Duration(number("second")) * time.Second,
		}
		s.ledger = NewLedger(s.config)
	case "wait":
		s.now = s.now.Add(time.Duration(number("seconds")) * time.Second)
	case "next":
		var out strings.Builder
		for _, attempt := range s.ledger.Next(s.now) {
			fmt.Fprintf(&out, "index %d attempt %s priority %d from version %d\n", attempt.Index, attemptText(attempt.Number), attempt.Priority, attempt.MinVersion)
		}
		return out.String() + s.cancels()
	case "segment":
		s.ledger.Segment(attemptArg(t, d), number("version"), s.now)
		return s.cancels()
	case "finish":
		return s.finish(attemptArg(t, d), d, t) + s.cancels()
	case "publish":
		s.ledger.SetVersion(number("version"), s.now)
		return s.cancels() + s.counts()
	case "propose":
		s.proposal = s.ledger.Propose(s.now)
		return progressText(s.proposal.Progress, s.proposal.Obsolete)
	case "commit":
		if s.proposal.Object != "" {
			s.objects[s.proposal.Object] = s.proposal.Samples
		}
		s.durable = s.proposal.Progress
		if !d.HasArg("lost") {
			s.ledger.Commit(s.now)
		}
	case "takeover":
		s.config.Epoch++
		ledger, err := RestoreLedger(s.config, s.durable, s.objects)
		if err != nil {
			return err.Error()
		}
		s.ledger = ledger
		return s.counts()
	case "pull":
		answer, err := s.ledger.HandOut(number("cursor"), number("version"), int(number("limit")), s.now)
		if err != nil {
			return err.Error() + "\n"
		}
		return handOutText(answer) + s.cancels()
	case "ack":
		if err := s.ledger.Acknowledge(number("cursor")); err != nil {
			return err.Error() + "\n"
		}
		return s.counts()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func (s *ledgerStory) finish(attempt int, d *datadriven.TestData, t *testing.T) string {
	outcome := api.OutcomeCompleted
	var sample api.Sample
	if d.HasArg("failed") {
		outcome = api.OutcomeFailed
	} else {
		var versions string
		d.ScanArgs(t, "versions", &versions)
		for text := range strings.SplitSeq(versions, "-") {
			version, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			sample.Segments = append(sample.Segments, api.Segment{Version: version, Tokens: 1})
		}
	}
	return string(s.ledger.Finish(attempt, outcome, sample, 0, s.now)) + "\n"
}

func (s *ledgerStory) counts() string {
	c := s.ledger.Counts()
	return fmt.Sprintf("waiting %d running %d finished %d committed %d acknowledged %d\n", c.Waiting, c.Running, c.Finished, c.Committed, c.Acknowledged)
}

func (s *ledgerStory) cancels() string {
	var out strings.Builder
	for _, number := range s.ledger.Cancels() {
		fmt.Fprintf(&out, "cancel %s\n", attemptText(number))
	}
	return out.String()
}

func attemptText(number int) string {
	return fmt.Sprintf("%d/%d", number/attemptsPerEpoch, number%attemptsPerEpoch)
}

func attemptArg(t *testing.T, d *datadriven.TestData) int {
	var epoch, number int
	if _, err := fmt.Sscanf(d.CmdArgs[0].Key, "%d/%d", &epoch, &number); err != nil {
		t.Fatal(err)
	}
	return epoch*attemptsPerEpoch + number
}

func progressText(progress Progress, obsolete []string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "cursor %d committed %d done %t\n", progress.Cursor, progress.Committed, progress.Done)
	for _, manifest := range progress.Manifests {
		fmt.Fprintf(&out, "manifest %s from position %d: indexes %s voids %v\n", manifest.Object, manifest.First, manifest.Indexes, manifest.Voids)
	}
	if len(obsolete) > 0 {
		fmt.Fprintf(&out, "obsolete %v\n", obsolete)
	}
	return out.String()
}

func handOutText(answer HandOut) string {
	var out strings.Builder
	for _, sample := range answer.Samples {
		oldest, _ := sample.OldestVersion()
		fmt.Fprintf(&out, "index %d attempt %s oldest version %d\n", sample.Index, attemptText(sample.Attempt), oldest)
	}
	fmt.Fprintf(&out, "next cursor %d done %t\n", answer.NextCursor, answer.Done)
	return out.String()
}
