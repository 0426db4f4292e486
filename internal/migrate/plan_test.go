package migrate

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/api"
)

// story is a pool that a script sets up and moves step by step.
type story struct {
	t        *testing.T
	snapshot Snapshot
}

// TestPlan plays the planner's stories. Commands are plan, next, and do (takes up
// to count steps as carried out); with fresh the pool is empty before. Lines of
// input come first: "site count setting ..." adds back ends, "name setting ..."
// changes those of the name or of a pattern with *.
func TestPlan(t *testing.T) {
	datadriven.Walk(t, "testdata/plan", func(t *testing.T, path string) {
		s := &story{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			out, err := s.run(d)
			if err != nil {
				return err.Error() + "\n"
			}
			return out
		})
	})
}

func (s *story) run(d *datadriven.TestData) (string, error) {
	options := s.options(d)
	if d.HasArg("fresh") {
		s.snapshot = Snapshot{Pool: "chat", Revision: 12, Target: 13, AsOf: time.UnixMilli(0)}
	}
	for line := range strings.Lines(d.Input) {
		s.read(strings.Fields(line))
	}
	switch d.Cmd {
	case "plan":
		if d.HasArg("rate") {
			var rate float64
			d.ScanArgs(s.t, "rate", &rate)
			s.snapshot.FinishedPerSecond = &rate
		}
		plan, err := NewPlan(s.snapshot, options)
		if err != nil {
			return "", err
		}
		var out bytes.Buffer
		err = RenderPlan(&out, plan)
		return regexp.MustCompile(` +\n`).ReplaceAllString(out.String(), "\n"), err
	case "next":
		step, err := NextStep(s.snapshot, options)
		return describeStep(step), err
	case "do":
		return s.do(d, options)
	}
	return "", fmt.Errorf("unknown command %s", d.Cmd)
}

// do takes steps as carried out at once.
func (s *story) do(d *datadriven.TestData, options Options) (string, error) {
	count := 100
	d.MaybeScanArgs(s.t, "count", &count)
	var out strings.Builder
	for range count {
		step, err := NextStep(s.snapshot, options)
		if err != nil {
			return out.String(), err
		}
		out.WriteString(describeStep(step))
		switch step.Action {
		case ActionResume:
			s.setAll(step.Backends, "drained=false", "role=serving")
		case ActionDrain:
			s.setAll(step.Backends, "drained=true", "role=draining")
		default:
			return out.String(), nil
		}
	}
	return out.String(), nil
}

func describeStep(step Step) string {
	return strings.TrimSpace(fmt.Sprintf("%s %s%s", step.Action, strings.Join(step.Backends, ","), step.Reason)) + "\n"
}

func (s *story) options(d *datadriven.TestData) Options {
	options := DefaultOptions()
	options.Pool, options.From, options.To = "chat", "old", "new"
	d.MaybeScanArgs(s.t, "wave-share", &options.WaveShare)
	d.MaybeScanArgs(s.t, "min-free", &options.MinFree)
	d.MaybeScanArgs(s.t, "to", &options.To)
	options.Undo = d.HasArg("undo")
	if d.HasArg("except") {
		options.Except = make([]string, 1)
		d.ScanArgs(s.t, "except", &options.Except[0])
	}
	return options
}

// read takes a line that adds or changes back ends.
func (s *story) read(fields []string) {
	count, err := strconv.Atoi(fields[1])
	if err != nil {
		s.set(fields[0], fields[1:])
		return
	}
	for number := 1; number <= count; number++ {
		name := fmt.Sprintf("%s-%d", fields[0], number)
		s.snapshot.Backends = append(s.snapshot.Backends, Backend{
			Name: name, Site: fields[0], Report: &Report{Role: string(api.RoleServing), Capacity: 8, Version: 13},
		})
		s.set(name, fields[2:])
	}
}

func (s *story) setAll(names []string, settings ...string) {
	for _, name := range names {
		s.set(name, settings)
	}
}

func (s *story) set(name string, settings []string) {
	for i := range s.snapshot.Backends {
		backend := &s.snapshot.Backends[i]
		if prefix, pattern := strings.CutSuffix(name, "*"); backend.Name == name || (pattern && strings.HasPrefix(backend.Name, prefix)) {
			for _, setting := range settings {
				key, value, _ := strings.Cut(setting, "=")
				backend.set(key, value)
			}
		}
	}
}

func (b *Backend) set(key, value string) {
	switch key {
	case "drained":
		b.Drained = value == "true"
		b.OwnOrder = b.Drained
	case "order":
		b.Drained, b.WiderOrder = true, strings.ReplaceAll(value, "/", " ")
	case "silent":
		b.Report = nil
	default:
		if b.Report != nil {
			b.Report.set(key, value)
		}
	}
}

// set changes a report; a back end that is silent stays so.
func (r *Report) set(key, value string) {
	number, _ := strconv.Atoi(value)
	switch key {
	case "age":
		r.Age = time.Duration(number) * time.Second
	case "role":
		r.Role = value
	case "running":
		r.Running = number
	case "waiting":
		r.Waiting = number
	case "version":
		r.Version = int64(number)
	case "error":
		r.LoadError = value
	default:
		panic(key)
	}
}
