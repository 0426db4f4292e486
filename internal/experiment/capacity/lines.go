package capacity

import (
	"fmt"
	"strings"
)

// Lines returns the result as rows of a table for people.
func (r Result) Lines() [][]string {
	lines := [][]string{{"machine", fmt.Sprintf("%d processors, %s, load %s before and %s after, %d open files allowed",
		r.Machine.Processors, r.Machine.Go, r.Machine.LoadBefore, r.Machine.LoadAfter, r.Machine.FileLimit)}}
	if len(r.Sizes) > 0 {
		lines = append(lines, r.sizeLines()...)
	}
	if r.Slopes != nil {
		lines = append(lines, r.Slopes.lines()...)
	}
	return lines
}

// sizeLines has a column for each cluster size.
func (r Result) sizeLines() [][]string {
	rows := []struct {
		name string
		cell func(Size) string
	}{
		{"nodes", func(s Size) string { return fmt.Sprint(s.Nodes) }},
		{"failed", func(s Size) string { return s.Failed }},
		{"load of the machine", func(s Size) string { return s.Load }},
		{"% of a core for each node", func(s Size) string { return fmt.Sprintf("%.2f (worst %.2f)", s.CorePercent, s.CoreHighest) }},
		{"memory for each node", func(s Size) string { return kilobytes(s.MemoryBytes) }},
		{"sent by each node", func(s Size) string { return fmt.Sprintf("%.2f/s, %.0f B/s", s.MessagesOut, s.BytesOut) }},
		{"received by each node", func(s Size) string { return fmt.Sprintf("%.2f/s, %.0f B/s", s.MessagesIn, s.BytesIn) }},
		{"connections of a node", func(s Size) string { return fmt.Sprintf("%.0f", s.Connections) }},
		{"table operations of all", func(s Size) string { return fmt.Sprintf("%.1f/s, %d failed", s.TableCalls, s.TableFailed) }},
		{"machine lists read by all", func(s Size) string { return fmt.Sprintf("%.1f/s", s.MachineReads) }},
		{"reports read by each node", func(s Size) string { return fmt.Sprintf("%.1f/s", s.WatchPolls) }},
		{"reports read for each shard", func(s Size) string { return fmt.Sprintf("%.1f/s", s.HolderPolls) }},
		{"a change in force, at its rate", func(s Size) string { return s.Changes.text() }},
		{"a change in force, in a burst", func(s Size) string { return s.Burst.text() }},
		{"a killed node", func(s Size) string { return killText(s.Kills) }},
		{"a weight version", func(s Size) string { return s.Weights.text() }},
	}
	var lines [][]string
	for _, row := range rows {
		cells := []string{row.name}
		for _, size := range r.Sizes {
			cells = append(cells, row.cell(size))
		}
		lines = append(lines, cells)
	}
	return lines
}

func (s Spread) text() string {
	if s.NotRun != "" {
		return "not run: " + s.NotRun
	}
	return fmt.Sprintf("%.0f ms, longest %.0f, %d of %d missing", s.Median, s.Longest, s.Missing, s.Changes)
}

func killText(kills []Kill) string {
	var texts []string
	for _, kill := range kills {
		text := fmt.Sprintf("dead %.1f s, taken over %.1f s", kill.AllMS/1000, kill.TakeoverMS/1000)
		if kill.TimedOut {
			text += " (timed out)"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "; ")
}

func (w Weights) text() string {
	return fmt.Sprintf("%d of %d in %.1f s, %d loads failed, %.2f%% of a core", w.Loaded, w.Samplers, w.TookMS/1000, w.Failed, w.CorePercent)
}

func kilobytes(bytes float64) string { return fmt.Sprintf("%.0f kB", bytes/1000) }

func (s *Slopes) lines() [][]string {
	lines := [][]string{
		{"a report", fmt.Sprintf("%s, %.0f B out, %.0f B in", s.Report.Cost.text(), s.Report.BytesOut, s.Report.BytesIn)},
		{"a holder's round", fmt.Sprintf("%.0f us for %d back ends, reports apart", s.Holder.Micros, s.Holder.Backends)},
		{"a live request", s.Gateway.Request.text()},
		{"a frame", fmt.Sprintf("%s; one by one %s; %d tokens", s.Gateway.Frame.text(), s.Gateway.PacedFrame.text(), s.Gateway.FrameTokens)},
		{"a live stream", kilobytes(s.Gateway.StreamBytes)},
	}
	for _, step := range s.Steps {
		lines = append(lines, []string{fmt.Sprintf("a sample of %d", step.Samples), fmt.Sprintf(
			"%.0f us until committed, %.0f us to hand out, %.0f B of memory, %.0f B to the object store, %.0f B of rows, %.0f B to the trainer, %d object writes, %d table operations",
			step.GenerateMicros, step.DeliverMicros, step.MemoryBytes, step.ObjectBytes, step.RowBytes, step.PullBytes, step.ObjectWrites, step.TableCalls)})
	}
	lines = append(lines, []string{"a booking", fmt.Sprintf("%.0f us, %.1f messages, %.0f B, %.0f B of memory for %.0f s",
		s.Claims.Micros, s.Claims.Messages, s.Claims.Bytes, s.Claims.MemoryBytes, s.Claims.RetentionSeconds)})
	lines = append(lines, []string{"the configuration", fmt.Sprintf("%.0f B a back end (%.0f B of memory), snapshot %.0f B, entry %.0f B, with a back end %.0f B, claim list of %d %.0f B",
		s.State.BackendBytes, s.State.BackendMemory, s.State.SnapshotBytes, s.State.ChangeBytes, s.State.AddBackendBytes, s.State.ClaimMembers, s.State.ClaimListBytes)})
	lines = append(lines, []string{"readings of the table", fmt.Sprintf("%.0f B for %d leases, %.0f B for a log without news",
		s.State.LeaseScanBytes, s.State.Leases, s.State.ReaderScanBytes)})
	for _, change := range s.Changes {
		lines = append(lines, []string{"applying a change", fmt.Sprintf("%.0f us with %d back ends", change.Micros, change.Backends)})
	}
	return append(lines, []string{"the machine list", fmt.Sprintf("%.0f B, %.0f us to decode, %d machines", s.List.Bytes, s.List.Micros, s.List.Machines)})
}

func (u UnitCost) text() string {
	return fmt.Sprintf("%.1f us (whole %.1f, bare %.1f)", u.Node, u.Whole, u.Bare)
}
