package history

import "unique"

// Checker judges a history in one pass over its events, which may come in any
// order: only promises about time compare the writers' clocks.
type Checker struct {
	events int
	names  map[string]string
	index  *index
	judges []judge
}

// judge tests one promise.
type judge interface {
	// observe takes an event. The pointer is valid during the call only.
	observe(event *Event, at Position)
	// verdict is called once, after the last event.
	verdict() Verdict
}

// NewChecker returns a Checker of all promises.
func NewChecker() *Checker {
	index := newIndex()
	return &Checker{
		names: make(map[string]string),
		index: index,
		judges: []judge{
			newVersionsJudge(index),
			newBoundJudge(),
			newDeliveryJudge(),
			newAnswersJudge(index),
			newRefusalJudge(index),
			newAtMostOnceJudge(index),
			newDrainJudge(),
			newStopJudge(),
			newConfigurationJudge(),
		},
	}
}

// Observe takes an event that stands at the position.
func (c *Checker) Observe(event Event, at Position) {
	c.events++
	for i := range event.Segments {
		event.Segments[i].Engine = c.intern(event.Segments[i].Engine)
	}
	c.index.observe(&event, at)
	for _, judge := range c.judges {
		judge.observe(&event, at)
	}
}

// intern returns one copy of a string that many events carry, to save memory.
func (c *Checker) intern(name string) string {
	known, ok := c.names[name]
	if !ok {
		c.names[name] = name
		known = name
	}
	return known
}

// Report judges everything observed. The Checker must not be used afterwards.
func (c *Checker) Report() Report {
	report := Report{Events: c.events}
	for _, judge := range c.judges {
		report.Verdicts = append(report.Verdicts, judge.verdict())
	}
	return report
}

// CheckEvents judges a history that is kept in memory. Evidence names the events
// by the name and by their number, from 1.
func CheckEvents(name string, events []Event) Report {
	checker := NewChecker()
	for i, event := range events {
		checker.Observe(event, Position{File: name, Line: i + 1})
	}
	return checker.Report()
}

// CheckFiles judges the history that the files hold together.
func CheckFiles(paths ...string) (Report, error) {
	checker := NewChecker()
	if err := ReadFiles(paths, checker.Observe); err != nil {
		return Report{}, err
	}
	return checker.Report(), nil
}

// mark is an event that may be named as evidence later. A history holds many,
// so what repeats is kept once.
type mark struct {
	source   unique.Handle[source]
	line     int
	atMicros int64
}

// source is what the events of one kind from one process in one file share.
type source struct {
	file    string
	kind    Kind
	process string
}

func newMark(event *Event, at Position) mark {
	origin := source{file: at.File, kind: event.Kind, process: event.Process}
	return mark{source: unique.Make(origin), line: at.Line, atMicros: event.AtMicros}
}

func (m mark) kind() Kind { return m.source.Value().kind }

func (m mark) process() string { return m.source.Value().process }

func (m mark) evidence() Evidence {
	origin := m.source.Value()
	at := Position{File: origin.file, Line: m.line}
	return Evidence{At: at.String(), AtMicros: m.atMicros, Kind: origin.kind, Process: origin.process}
}

func evidence(marks ...mark) []Evidence {
	events := make([]Evidence, 0, len(marks))
	for _, m := range marks {
		events = append(events, m.evidence())
	}
	return events
}
