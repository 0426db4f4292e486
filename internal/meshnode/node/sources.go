package node

import (
	"encoding/json"
	"time"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/control"
	"github.com/sliplift/sliplift/internal/meshnode/dispatch"
	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/operator/catalog"
	"github.com/sliplift/sliplift/internal/meshnode/query"
	"github.com/sliplift/sliplift/internal/meshnode/rollout"
	"github.com/sliplift/sliplift/internal/telemetry"
)

// settingSpecs are the settings that SET takes.
func settingSpecs() query.SettingSpecs {
	return query.SettingSpecs{
		{Key: control.SettingSwapShare, Kind: query.KindNumber, Min: 0.01, Max: 1, Default: "0.25"},
		{Key: control.SettingMaxPulls, Kind: query.KindNumber, Min: 1, Max: 100000, Whole: true, Default: "100000"},
	}
}

// sources shows operators what this node itself knows.
func (n *Node) sources() catalog.Sources {
	return catalog.Sources{
		Config: func() (*configlog.State, bool) {
			return n.configuration.Current(), n.configuration.Ready()
		},
		Entries: n.configuration.Entries,
		Members: n.catalogMembers,
		Reports: n.catalogReports,
		Steps:   n.catalogSteps,
		Leases:  n.catalogLeases,
		Request: n.catalogRequest,
	}
}

// catalogReports are the reports of the back ends whose shards this node holds.
func (n *Node) catalogReports() []catalog.Report {
	var reports []catalog.Report
	for _, report := range n.controller.Reports() {
		if report.HeardAt.IsZero() {
			continue
		}
		reports = append(reports, catalog.Report{
			Load:  report.Report,
			Node:  n.cfg.Settings.Name,
			AgeMS: time.Since(report.HeardAt).Milliseconds(),
		})
	}
	return reports
}

// States of a step in SHOW STEPS.
const (
	stepRunning = "running"
	stepDone    = "done"
	stepNoLease = "lease lapsed"
)

func (n *Node) catalogSteps() []catalog.Step {
	var steps []catalog.Step
	for _, status := range n.rollouts.Steps() {
		steps = append(steps, catalog.Step{
			Trainer:      status.Trainer,
			Step:         status.Step,
			Pool:         status.Pool,
			State:        stepState(status),
			Owner:        n.cfg.Settings.Name,
			Epoch:        status.Epoch,
			Samples:      status.Samples,
			Finished:     status.Finished + status.Committed + status.Acknowledged,
			Delivered:    int(status.HandedOut),
			Acknowledged: status.Acknowledged,
			AgeMS:        time.Since(status.Since).Milliseconds(),
		})
	}
	return steps
}

func stepState(status rollout.StepStatus) string {
	switch {
	case status.Acknowledged == status.Samples:
		return stepDone
	case !status.LeaseValid:
		return stepNoLease
	}
	return stepRunning
}

func (n *Node) catalogLeases() []catalog.Lease {
	var leases []catalog.Lease
	for _, status := range n.leases.Leases() {
		if !status.Acting {
			continue
		}
		leases = append(leases, catalog.Lease{
			Shard:       status.Shard,
			Holder:      status.Holder,
			Epoch:       status.Epoch,
			ExpiresInMS: max(0, n.cfg.Settings.LeaseDuration-time.Since(status.AsOf)).Milliseconds(),
		})
	}
	return leases
}

// catalogRequest tells where a request ran and why there.
func (n *Node) catalogRequest(requestID string) []catalog.RequestEvent {
	trace, known := n.dispatcher.Trace(requestID)
	if !known {
		return nil
	}
	var events []catalog.RequestEvent
	for _, attempt := range trace.Attempts {
		events = append(events, n.attemptEvents(trace, attempt)...)
	}
	if trace.EndedMS != 0 {
		events = append(events, catalog.RequestEvent{
			AfterMS: trace.EndedMS - trace.StartedMS,
			Node:    n.cfg.Settings.Name,
			Event:   string(trace.Outcome),
			Reason:  string(trace.Code),
		})
	}
	return events
}

func (n *Node) attemptEvents(trace dispatch.Trace, attempt dispatch.AttemptTrace) []catalog.RequestEvent {
	chosen := catalog.RequestEvent{
		AfterMS: attempt.StartedMS - trace.StartedMS,
		Node:    n.cfg.Settings.Name,
		Attempt: attempt.Attempt,
		Event:   "chosen",
		Backend: attempt.Backend,
		Reason:  explanationText(attempt),
	}
	if attempt.EndedMS == 0 {
		return []catalog.RequestEvent{chosen}
	}
	ended := catalog.RequestEvent{
		AfterMS: attempt.EndedMS - trace.StartedMS,
		Node:    n.cfg.Settings.Name,
		Attempt: attempt.Attempt,
		Event:   string(attempt.State),
		Backend: attempt.Backend,
		Reason:  attempt.Error,
	}
	return []catalog.RequestEvent{chosen, ended}
}

func explanationText(attempt dispatch.AttemptTrace) string {
	text, err := json.Marshal(attempt.Explanation)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// status answers GET /v1/status on the operator port.
func (n *Node) status() operator.Status {
	snapshot := n.membership.Snapshot()
	status := operator.Status{
		Node:         n.cfg.Settings.Name,
		Version:      telemetry.Version(),
		Zone:         n.cfg.Settings.Zone,
		Incarnation:  n.cfg.Incarnation,
		Stopping:     n.stop.begun(),
		Revision:     n.configuration.Current().Revision,
		MembersAlive: len(snapshot.Alive()),
		MembersKnown: len(snapshot.Members),
	}
	err := n.Ready()
	status.Ready = err == nil
	if err != nil {
		status.Reason = err.Error()
	}
	return status
}
