// Package explain tells the story of one request, item or batch job from the
// logs of several nodes: its own lines in order, what happened round it to the
// nodes, back ends and views that took part, and what is missing.
//
// It reads lines of JSON as eventlog writes them; what stands before the first
// brace of a line, as a collector's time and host, is passed over. Lines that are
// no JSON are counted.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
)

// lineMost bounds a line, in bytes.
const lineMost = 1 << 20

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Node   string
	Event  string
	Fields map[string]any
}

// text returns a field as text.
func (l Line) text(name string) string {
	value, found := l.Fields[name]
	if !found {
		return ""
	}
	return fmt.Sprint(value)
}

// Log is what was read.
type Log struct {
	Lines []Line
	// Skipped counts lines that could not be read.
	Skipped int
}

// Read adds the lines of a reader.
func (l *Log) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, lineMost)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			l.Skipped++
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	return scanner.Err()
}

func parse(text string) (Line, bool) {
	start := strings.Index(text, "{")
	if start < 0 {
		return Line{}, false
	}
	line := Line{Fields: make(map[string]any)}
	if json.Unmarshal([]byte(text[start:]), &line.Fields) != nil {
		return Line{}, false
	}
	line.Event = line.text(eventlog.Event)
	moment, err := time.Parse(time.RFC3339, line.text("time"))
	if err != nil || line.Event == "" {
		return Line{}, false
	}
	line.Time = moment
	line.Node = line.text(eventlog.From)
	if line.Node == "" {
		line.Node = line.text(eventlog.Node)
	}
	for _, known := range []string{eventlog.Event, eventlog.From, "time", "msg", "level"} {
		delete(line.Fields, known)
	}
	return line, true
}

// Story is what is known of one id.
type Story struct {
	ID   string
	Kind string
	// Own lines name the id; Around lines concern what took part, in the same
	// time.
	Own, Around []Line
	// Missing says what should have been there.
	Missing []string
}

// margin is the time before and after the own lines in which others count.
const margin = 2 * time.Second

// Tell returns the story of an id.
func (l *Log) Tell(id string) Story {
	story := Story{ID: id}
	lines := slices.Clone(l.Lines)
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	for _, line := range lines {
		if kind := mentions(line, id); kind != "" {
			story.Own = append(story.Own, line)
			if story.Kind == "" {
				story.Kind = kind
			}
		}
	}
	if len(story.Own) == 0 {
		story.Missing = []string{"no line names this id: wrong id, a node whose log is not here, or dropped lines"}
		return story
	}
	story.around(lines)
	story.findMissing(lines)
	return story
}

// namingFields are the fields by whose values lines are asked for.
var namingFields = []string{
	eventlog.Request, eventlog.Job, eventlog.Item, eventlog.Backend, eventlog.KeyDigest, eventlog.Window, eventlog.Lease, eventlog.Tenant, eventlog.Work,
}

// mentions tells as what a line names an id.
func mentions(line Line, id string) string {
	for _, field := range namingFields {
		if line.text(field) == id {
			return field
		}
	}
	return ""
}

// surrounding are events that concern whatever a node does at the time.
var surrounding = map[string]bool{
	eventlog.Started: true, eventlog.Stopping: true, eventlog.Stopped: true,
	eventlog.ViewLost: true, eventlog.ViewStillLost: true, eventlog.ViewRegained: true, eventlog.NodeLapsed: true,
	eventlog.LeaseTaken: true, eventlog.LeaseLost: true, eventlog.UsageUnwritten: true, eventlog.LinesDropped: true, eventlog.ConfigApplied: true,
	eventlog.EvacuationBegun: true, eventlog.EvacuationEnded: true, eventlog.BackendsCold: true,
}

func (s *Story) around(lines []Line) {
	first, last := s.Own[0].Time.Add(-margin), s.Own[len(s.Own)-1].Time.Add(margin)
	nodes, backends, models := s.involved()
	works := s.works()
	for _, line := range lines {
		if workEvents[line.Event] && works[line.text(eventlog.Work)] && mentions(line, s.ID) == "" {
			// What ended under a work counts however long ago it was.
			s.Around = append(s.Around, line)
			continue
		}
		if line.Time.Before(first) || line.Time.After(last) || mentions(line, s.ID) != "" {
			continue
		}
		concerns := surrounding[line.Event] && nodes[line.Node] ||
			backends[line.text(eventlog.Backend)] && backendEvents[line.Event] ||
			line.Event == eventlog.OrderSettled && models[line.text(eventlog.Model)]
		if concerns {
			s.Around = append(s.Around, line)
		}
	}
}

// backendEvents are events that concern all work of a back end.
var backendEvents = map[string]bool{
	eventlog.BackendEnded: true, eventlog.BackendCold: true, eventlog.BackendChanged: true, eventlog.BackendGone: true, eventlog.OrderSent: true, eventlog.OrderSettled: true,
}

// workEvents are events that concern all requests of a work.
var workEvents = map[string]bool{
	eventlog.RequestSuspected: true, eventlog.RequestCleared: true, eventlog.Quarantined: true,
	eventlog.QuarantineEnded: true, eventlog.QuarantineTrial: true, eventlog.SuspicionDropped: true,
}

// works returns the works that the own lines of a request or an item name.
func (s *Story) works() map[string]bool {
	works := make(map[string]bool)
	for _, line := range s.Own {
		if work := line.text(eventlog.Work); work != "" {
			works[work] = true
		}
	}
	return works
}

// involved returns the nodes, back ends and models that the own lines name.
func (s *Story) involved() (nodes, backends, models map[string]bool) {
	nodes, backends, models = make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, line := range s.Own {
		nodes[line.Node] = true
		for name, set := range map[string]map[string]bool{eventlog.Owner: nodes, eventlog.Backend: backends, eventlog.Model: models} {
			if value := line.text(name); value != "" {
				set[value] = true
			}
		}
	}
	return nodes, backends, models
}

func (s *Story) count(events ...string) int {
	count := 0
	for _, line := range s.Own {
		if slices.Contains(events, line.Event) {
			count++
		}
	}
	return count
}

func (s *Story) findMissing(lines []Line) {
	miss := func(when bool, text string) {
		if when {
			s.Missing = append(s.Missing, text)
		}
	}
	switch s.Kind {
	case eventlog.Request:
		ends := s.count(eventlog.RequestAnswered, eventlog.RequestRefused, eventlog.RequestFailed, eventlog.RequestLeft)
		miss(ends == 0, "no line tells how the request ended: its node died, or the line was dropped")
	case eventlog.Window:
		miss(s.count(eventlog.UsageFixed) == 0, "no node says that it summed the window: nobody held the lease, or several were summed at once under an earlier one")
		miss(s.count(eventlog.UsageSent) == 0, "no node says that the platform took the window's report")
	case eventlog.Job:
		accepted := s.count(eventlog.JobAccepted)
		miss(accepted == 0, "no node says that it accepted the job")
		miss(s.count(eventlog.JobOpened, eventlog.JobTaken) == 0, "no node says that it opened the job")
		waits := s.count(eventlog.JobWaits) > s.count(eventlog.JobWaited, eventlog.JobTaken)
		miss(waits, "no node in the job's regions: the line that it waits is the last about its owner")
		miss(s.count(eventlog.JobComplete, eventlog.JobEnded) == 0, "neither all results nor the job's end were seen")
	case eventlog.Item:
		miss(s.count(eventlog.ItemDone, eventlog.ItemDead) == 0, "the item neither completed nor died: its job ended first, or it waited")
		failed := s.count(eventlog.ScoreFailed) > 0 && s.count(eventlog.ItemScored, eventlog.ItemDead) == 0
		held := s.count(eventlog.JobHeld) > 0 && s.count(eventlog.ItemDone, eventlog.ItemDead) == 0
		miss(held, "no back end might get the item: the reasons count the back ends")
		miss(failed, "the text is whole and no call brought its score: the job ended first, or the scoring service is at fault")
	}
	for _, line := range lines {
		if line.Event == eventlog.LinesDropped {
			s.Missing = append(s.Missing, fmt.Sprintf("%s dropped %s lines before %s", line.Node, line.text(eventlog.Count), line.Time.Format(clockLayout)))
		}
	}
}

const clockLayout = "15:04:05.000"

// Write prints the story.
func (s Story) Write(w io.Writer) error {
	var out strings.Builder
	if len(s.Own) > 0 {
		fmt.Fprintf(&out, "%s %s, %d lines of its own from %s on\n", s.Kind, s.ID, len(s.Own), s.Own[0].Time.Format(clockLayout))
	}
	all := append(slices.Clone(s.Own), s.Around...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	all = foldViews(all)
	for _, line := range all {
		mark := " "
		if mentions(line, s.ID) == "" {
			mark = "|"
		}
		fmt.Fprintf(&out, "%s %+8d ms  %-22s %-20s %s\n", mark, line.Time.Sub(s.Own[0].Time).Milliseconds(), line.Node, line.Event, fieldsOf(line, s.ID))
	}
	for _, text := range s.Missing {
		fmt.Fprintf(&out, "missing: %s\n", text)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// foldTime is within which lines of a node's views are told as one.
const foldTime = 300 * time.Millisecond

// foldViews tells the loss or return of several views of a node as one line: a
// node loses them together with the store.
func foldViews(lines []Line) []Line {
	var folded []Line
	last := make(map[string]int)
	for _, line := range lines {
		view := line.text(eventlog.View)
		key := line.Node + "\x00" + line.Event
		at, seen := last[key]
		if view == "" || !seen || line.Time.Sub(folded[at].Time) > foldTime {
			if view != "" {
				last[key] = len(folded)
				line.Fields = maps.Clone(line.Fields)
			}
			folded = append(folded, line)
			continue
		}
		folded[at].Fields[eventlog.View] = folded[at].text(eventlog.View) + "," + view
	}
	return folded
}

// fieldsOf returns the fields of a line but for the id itself.
func fieldsOf(line Line, id string) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		value := line.text(name)
		if value == "" || value == id {
			continue
		}
		if strings.ContainsAny(value, " \"") {
			value = fmt.Sprintf("%q", value)
		}
		parts = append(parts, name+"="+value)
	}
	return strings.Join(parts, " ")
}
