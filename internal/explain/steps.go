package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
)

// Step tells where the time of one batch job went. All spans count from its
// acceptance.
type Step struct {
	job, model string
	accepted   time.Time
	items      int
	// owners counts the nodes, or lives of them, that opened the job; opened is when
	// the last of them did.
	owners int
	opened clock.Millis
	// waited are the times from the opening to the first run of each item; whole,
	// when each text was whole; scoring, how long each then waited for its score.
	waited, whole, scoring []clock.Millis
	// complete is when all was listed, ended when the caller ended the job; 0 if no
	// line tells.
	complete, ended clock.Millis
	// settled is the longest time until a commit was certain.
	settled                     clock.Millis
	broken, moved, failed, dead int
	longest                     string
}

// Steps returns the jobs that the log tells the acceptance of, in its order.
func (l *Log) Steps() []*Step {
	lines := slices.Clone(l.Lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	byJob := make(map[string]*Step)
	var steps []*Step
	for _, line := range lines {
		id := line.text(eventlog.Job)
		s := byJob[id]
		if line.Event == eventlog.JobAccepted && s == nil {
			s = &Step{job: id, model: line.text(eventlog.Model), accepted: line.Time, items: line.number(eventlog.Count)}
			byJob[id] = s
			steps = append(steps, s)
			continue
		}
		if s != nil {
			s.add(line)
		}
	}
	return steps
}

// number returns a field as a whole number, 0 if it is none.
func (l Line) number(name string) int {
	value, _ := strconv.ParseFloat(l.text(name), 64)
	return int(value)
}

func (s *Step) add(line Line) {
	at := clock.Of(line.Time.Sub(s.accepted))
	switch line.Event {
	case eventlog.JobOpened:
		s.owners++
		s.opened = at
	case eventlog.JobComplete:
		s.complete = at
	case eventlog.JobEnded:
		s.ended = cmp.Or(s.ended, at)
	case eventlog.CommitSettled:
		s.settled = max(s.settled, clock.Millis(line.number(eventlog.TookMillis)))
	case eventlog.ItemDone:
		s.waited = append(s.waited, clock.Millis(line.number("waited_ms")))
		s.whole = append(s.whole, at)
		s.longest = line.text(eventlog.Item)
	case eventlog.ItemScored:
		s.scoring = append(s.scoring, clock.Millis(line.number("since_whole_ms")))
	case eventlog.ItemBroken:
		s.broken++
	case eventlog.ItemMoved:
		s.moved++
	case eventlog.ScoreFailed:
		s.failed++
	case eventlog.ItemDead:
		s.dead++
	}
}

// took returns the time until the caller ended the job, or all was listed, 0 if
// neither is told.
func (s *Step) took() clock.Millis { return cmp.Or(s.ended, s.complete) }

// quantile returns the value below which a share of values lies, 0 without any.
func quantile(values []clock.Millis, share float64) clock.Millis {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// WriteSteps prints a line for each step, in ms from its acceptance, and the mean
// time of those whose end is told.
func WriteSteps(w io.Writer, steps []*Step) error {
	const format = "%-16s %8s %6s %7s %6s %7s %7s %7s %7s %6s %7s %7s %7s  %s\n"
	_, err := fmt.Fprintf(w, format, "job", "from", "items", "opened", "owners", "waited", "whole50", "whole90", "whole", "score", "commit", "listed", "ended", "broken moved failed dead longest")
	if err != nil || len(steps) == 0 {
		return err
	}
	first := steps[0].accepted
	var sum clock.Millis
	count := 0
	for _, s := range steps {
		if s.took() > 0 {
			sum += s.took()
			count++
		}
		_, err := fmt.Fprintf(w, format, s.job, millis(clock.Of(s.accepted.Sub(first))), fmt.Sprint(s.items), millis(s.opened), fmt.Sprint(s.owners),
			millis(quantile(s.waited, 0.9)), millis(quantile(s.whole, 0.5)), millis(quantile(s.whole, 0.9)), millis(quantile(s.whole, 1)),
			millis(quantile(s.scoring, 0.9)), millis(s.settled), millis(s.complete), millis(s.ended),
			fmt.Sprintf("%6d %5d %6d %4d %s", s.broken, s.moved, s.failed, s.dead, s.longest))
		if err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "%d steps, %d with their end, %d ms on the mean\n", len(steps), count, sum/clock.Millis(max(count, 1)))
	return err
}

func millis(m clock.Millis) string { return strconv.FormatInt(int64(m), 10) }
