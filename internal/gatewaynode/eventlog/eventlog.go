// Package eventlog writes the structured lines by which a failure is explained:
// one for each decision that touches a request or changes what the process
// believes. It is the one vocabulary of event names and field names.
//
// Lines are bounded: above a stated rate they are dropped and counted, and the
// count is said. Writing never blocks a request: lines go through a buffer, and
// what does not fit is dropped and counted as well.
package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Names of events.
const (
	Started         = "started"
	Stopping        = "stopping"
	Stopped         = "stopped"
	SettingsChanged = "settings_changed"
	MachineAway     = "machine_away"

	ViewLost        = "view_lost"
	ViewStillLost   = "view_still_lost"
	ViewRegained    = "view_regained"
	ConfigApplied   = "config_applied"
	VersionNamed    = "version_named"
	RegistryRead    = "registry_read"
	DigestTaken     = "digest_publishing_taken"
	DigestLeft      = "digest_publishing_left"
	DigestFollowed  = "digest_publisher_changed"
	DigestDiffers   = "digest_differs"
	WayChanged      = "view_way_changed"
	BackendChanged  = "backend_changed"
	BackendGone     = "backend_gone"
	BackendOpened   = "backend_connection_opened"
	BackendEnded    = "backend_ended"
	NodesRead       = "nodes_read"
	NodeSeen        = "node_seen"
	NodeLapsed      = "node_lapsed"
	EvacuationBegun = "evacuation_begun"
	EvacuationEnded = "evacuation_ended"
	BackendsCold    = "backends_cold"
	BackendCold     = "backend_cold"
	LeaseTaken      = "lease_taken"
	LeaseLost       = "lease_lost"
	OrderSent       = "order_sent"
	OrderSettled    = "order_settled"
	LoadUntold      = "load_untold"
	RowUnreadable   = "row_unreadable"
	StoreDetour     = "store_detour"
	StoreDirect     = "store_direct"
	StoreRelayed    = "store_relayed"
	CommitUncertain = "commit_uncertain"
	CommitSettled   = "commit_settled"

	RequestAnswered = "request_answered"
	RequestRefused  = "request_refused"
	RequestFailed   = "request_failed"
	RequestLeft     = "request_left"
	AttemptFailed   = "attempt_failed"
	AttemptWithheld = "attempt_withheld"
	StreamResumed   = "stream_resumed"

	RequestSuspected = "request_suspected"
	RequestCleared   = "request_cleared"
	Quarantined      = "request_quarantined"
	QuarantineTrial  = "request_quarantine_trial"
	QuarantineEnded  = "request_quarantine_ended"
	SuspicionDropped = "suspicion_dropped"
	EvidenceUnsent   = "evidence_unsent"
	PeersTold        = "peers_told"

	CallRelayed = "call_relayed"

	JobAccepted  = "job_accepted"
	JobRefused   = "job_refused"
	JobUncertain = "job_uncertain"
	JobOpened    = "job_opened"
	JobTaken     = "job_taken_over"
	JobLost      = "job_ownership_lost"
	JobHanded    = "job_handed_over"
	JobEnded     = "job_ended"
	JobComplete  = "job_complete"
	JobHeld      = "job_held"
	JobWaits     = "job_waits_for_region"
	JobWaited    = "job_region_back"
	JobRead      = "job_read"
	JobReadFail  = "job_read_failed"
	ItemDone     = "item_completed"
	ItemDead     = "item_dead"
	ItemBroken   = "item_run_broken"
	ItemMoved    = "item_moved"
	ItemWithheld = "item_withheld"
	ItemScored   = "item_scored"
	ScoreFailed  = "score_failed"

	UsageFixed     = "usage_fixed"
	UsageSent      = "usage_sent"
	UsageFailed    = "usage_failed"
	UsageUnwritten = "usage_unwritten"
	UsageLost      = "usage_lost"

	LinesDropped = "lines_dropped"
)

// Names of fields.
const (
	Event      = "event"
	From       = "from"
	Request    = "request"
	Work       = "work"
	Job        = "job"
	Item       = "item"
	Route      = "route"
	Service    = "service"
	Backend    = "backend"
	Cause      = "cause"
	Fate       = "fate"
	Status     = "status"
	Attempts   = "attempts"
	Config     = "config_version"
	ConfigAge  = "config_age_ms"
	Epoch      = "epoch"
	Owner      = "owner"
	Model      = "model"
	Version    = "version"
	TookMillis = "took_ms"
	LeftMillis = "left_ms"
	// Began is what tells that a request began to run, BeganMillis, how long ago.
	Began       = "began"
	BeganMillis = "began_ms_ago"
	// AfterMillis is how long after its sending an attempt failed, Receipt, how much of it was
	// read, LikelyBegan, whether its back end is taken to have begun it.
	AfterMillis = "after_ms"
	Receipt     = "receipt"
	LikelyBegan = "likely_began"
	Count       = "count"
	View        = "view"
	Revision    = "revision"
	Token       = "fencing_token"
	Node        = "node"
	Table       = "table"
	Key         = "key"
	Tenant      = "tenant"
	Lease       = "lease"
	Window      = "window"
	Outcome     = "outcome"
	Purpose     = "purpose"
	KeyDigest   = "key_digest"
	Reasons     = "reasons"
	Reason      = "reason"
	Zone        = "zone"
	Regions     = "regions"
)

// Fields are the fields of a line.
type Fields = logrus.Fields

// Limits of the log of one process.
const (
	// LinesPerSecond and LinesBurst bound the lines of decisions.
	LinesPerSecond = 300
	LinesBurst     = 600
	// bufferedLines is how many lines wait for the output.
	bufferedLines = 512
	// dropReport is how often dropped lines are said.
	dropReport = 5 * time.Second
)

// Log writes lines.
type Log struct {
	logger  *logrus.Logger
	limiter *rate.Limiter
	output  *asyncWriter
	refused atomic.Int64
	node    string
	count   func(event string)
}

// SetNode names the node in every line from now on; it is called before others
// use the log.
func (l *Log) SetNode(node string) { l.node = node }

// SetCounter makes every event be counted, also one whose line is dropped; it is
// called before others use the log.
func (l *Log) SetCounter(count func(event string)) { l.count = count }

// New returns a log that writes to output in the logger's format. Close flushes
// it.
func New(logger *logrus.Logger, output io.Writer) *Log {
	log := &Log{logger: logger, limiter: rate.NewLimiter(LinesPerSecond, LinesBurst)}
	log.output = newAsyncWriter(output)
	logger.SetOutput(log.output)
	return log
}

// Logger returns the logger underneath, for messages that are not decisions.
func (l *Log) Logger() *logrus.Logger { return l.logger }

// Info writes a line of a decision that is part of ordinary work.
func (l *Log) Info(event string, fields Fields) { l.write(logrus.InfoLevel, event, fields) }

// Warn writes a line of a decision that an operator may look for.
func (l *Log) Warn(event string, fields Fields) { l.write(logrus.WarnLevel, event, fields) }

func (l *Log) write(level logrus.Level, event string, fields Fields) {
	if l == nil {
		return
	}
	if l.count != nil {
		l.count(event)
	}
	if !l.logger.IsLevelEnabled(level) {
		return
	}
	if !l.limiter.Allow() {
		l.refused.Add(1)
		return
	}
	entry := l.logger.WithFields(fields)
	// The entry is this call's alone, so that its fields may be added to.
	entry.Data[Event] = event
	if l.node != "" {
		entry.Data[From] = l.node
	}
	entry.Log(level, "")
}

// Dropped returns the number of lines that were not written since the start.
func (l *Log) Dropped() int64 { return l.refused.Load() + l.output.lost.Load() }

// ReportDropped says, now and then, how many lines were dropped; it returns
// when stop is closed.
func (l *Log) ReportDropped(stop <-chan struct{}) {
	ticker := time.NewTicker(dropReport)
	defer ticker.Stop()
	said := int64(0)
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		dropped := l.Dropped()
		if count := dropped - said; count > 0 {
			said = dropped
			l.logger.WithFields(Fields{Event: LinesDropped, Count: count, From: l.node}).Warn("")
		}
	}
}

// Close writes what is buffered, for a second at most.
func (l *Log) Close() { l.output.close() }

// asyncWriter hands lines to the output from one goroutine.
type asyncWriter struct {
	lines  chan []byte
	done   chan struct{}
	lost   atomic.Int64
	once   sync.Once
	closed atomic.Bool
}

func newAsyncWriter(output io.Writer) *asyncWriter {
	writer := &asyncWriter{lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go func() {
		defer close(writer.done)
		for line := range writer.lines {
			if line == nil {
				return
			}
			if _, err := output.Write(line); err != nil {
				writer.lost.Add(1)
			}
		}
	}()
	return writer
}

// Write implements io.Writer; it never blocks.
func (w *asyncWriter) Write(line []byte) (int, error) {
	if w.closed.Load() {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

const closeLimit = time.Second

func (w *asyncWriter) close() {
	w.once.Do(func() {
		w.closed.Store(true)
		timer := time.NewTimer(closeLimit)
		defer timer.Stop()
		select {
		case w.lines <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-w.done:
		case <-timer.C:
		}
	})
}
