package query

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// Catalog answers what is running where. An error means that the question could
// not be answered at all; what is only partly known is a table with unknown
// values and NotHeard.
type Catalog interface {
	Show(ctx context.Context, name TableName) (Table, error)
	Explain(ctx context.Context, requestID string) (Table, error)
}

// Changes submits changes of the configuration and tells their fate.
type Changes interface {
	Submit(ctx context.Context, change configlog.Change) configlog.Result
	Lookup(ctx context.Context, id string) configlog.Result
	InForce(ctx context.Context, revision int64) configlog.ForceReport
}

// Config sets up an Executor. Durations that are zero take their defaults.
type Config struct {
	// Node is the name of the answering node.
	Node string
	// Settings lists the settings that SET takes; none means any.
	Settings SettingSpecs
	// SubmitTimeout bounds the time until a change's fate is settled or said to
	// be unknown. The default is 10 s.
	SubmitTimeout time.Duration
	// ForceTimeout bounds one question how far a revision is in force. The
	// default is 2 s.
	ForceTimeout time.Duration
	// PollInterval is the time between two such questions while a statement
	// waits. The default is 200 ms.
	PollInterval time.Duration
}

const (
	defaultSubmitTimeout = 10 * time.Second
	defaultForceTimeout  = 2 * time.Second
	defaultPollInterval  = 200 * time.Millisecond
)

// ErrNotBegun is the problem of a statement that was not begun, because nobody
// waits for its answer any more or because the node stops.
const ErrNotBegun = errs.Tag("query: not run")

// Executor runs statements. It is safe for concurrent use.
type Executor struct {
	logger  logrus.FieldLogger
	config  Config
	catalog Catalog
	changes Changes
}

// NewExecutor returns an executor over the catalog and the changes.
func NewExecutor(logger logrus.FieldLogger, config Config, catalog Catalog, changes Changes) *Executor {
	setDefault(&config.SubmitTimeout, defaultSubmitTimeout)
	setDefault(&config.ForceTimeout, defaultForceTimeout)
	setDefault(&config.PollInterval, defaultPollInterval)
	return &Executor{logger: logger, config: config, catalog: catalog, changes: changes}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

// Batch is a text to run, with what names its changes.
type Batch struct {
	author string
	// changes is the name space of the ids of the batch's changes.
	changes uuid.UUID
}

// NewBatch returns the batch of a text. The author names the operator in the
// log of changes. The ids of the batch's changes follow from the batch's id and
// the text: whoever chose the batch's id can ask for their fate even if no
// answer came, the same batch run again changes nothing twice, and another text
// under the same id makes other changes.
func NewBatch(id uuid.UUID, author, source string) Batch {
	return Batch{author: author, changes: uuid.NewSHA1(id, []byte(source))}
}

// ChangeID returns the id of the change that the statement of that index makes.
func (b Batch) ChangeID(index int) string {
	return uuid.NewSHA1(b.changes, []byte(strconv.Itoa(index))).String()
}

// Summary tells how far a batch came.
type Summary struct {
	// Done counts the statements that succeeded.
	Done int `json:"done"`
	// Failed is the index of the statement at which the batch stopped; -1 if
	// all succeeded.
	Failed int `json:"failed"`
	// NotRun holds the texts of the statements after it.
	NotRun []string `json:"not_run,omitempty"`
}

// Parse reads the text of a batch with the settings of the configuration.
func (e *Executor) Parse(source string) ([]Parsed, error) {
	return Parse(source, e.config.Settings)
}

// Run executes the statements in order, hands each result to emit and stops
// after the first that did not succeed. Once ctx has ended it begins no further
// statement; a change that was begun is settled all the same.
func (e *Executor) Run(ctx context.Context, batch Batch, statements []Parsed, emit func(Result)) Summary {
	for index, parsed := range statements {
		result := e.executeUnlessOver(ctx, batch, index, parsed.Statement)
		result.Index = index
		result.Statement = parsed.Text
		emit(result)
		if !result.OK() {
			return Summary{Done: index, Failed: index, NotRun: texts(statements[index+1:])}
		}
	}
	return Summary{Done: len(statements), Failed: -1}
}

func texts(statements []Parsed) []string {
	var result []string
	for _, parsed := range statements {
		result = append(result, parsed.Text)
	}
	return result
}

func (e *Executor) executeUnlessOver(ctx context.Context, batch Batch, index int, statement Statement) Result {
	if ctx.Err() != nil {
		return problem(ErrNotBegun.Wrap(context.Cause(ctx)))
	}
	return e.execute(ctx, batch, index, statement)
}

func (e *Executor) execute(ctx context.Context, batch Batch, index int, statement Statement) Result {
	switch s := statement.(type) {
	case Show:
		table, err := e.catalog.Show(ctx, s.Table)
		if err != nil {
			return problem(err)
		}
		selected := s.Select(table)
		return Result{Table: &selected}
	case ExplainRequest:
		table, err := e.catalog.Explain(ctx, s.RequestID)
		if err != nil {
			return problem(err)
		}
		return Result{Table: &table}
	case ShowChange:
		return e.showChange(ctx, s.ID)
	case Change:
		return e.change(ctx, batch, index, s)
	}
	panic(fmt.Sprintf("query: statement %T", statement))
}

// problem makes an error of the catalog the answer.
func problem(err error) Result {
	var definite *api.Error
	if errors.As(err, &definite) {
		return Result{Problem: definite}
	}
	return Result{Problem: &api.Error{
		Code: api.CodeNotReady, Outcome: api.OutcomeFailed, Message: err.Error(), Status: http.StatusServiceUnavailable,
	}}
}

func (e *Executor) showChange(ctx context.Context, id string) Result {
	ctx, cancel := context.WithTimeout(ctx, e.config.SubmitTimeout)
	defer cancel()
	answer := e.answer(e.changes.Lookup(ctx, id), id)
	e.fillForce(ctx, answer)
	return Result{Change: answer}
}

func (e *Executor) change(ctx context.Context, batch Batch, index int, statement Change) Result {
	change := configlog.Change{
		ID:        batch.ChangeID(index),
		Author:    batch.author,
		Operation: operationOf(statement.Action),
	}
	if statement.IfRevision != nil {
		change.IfRevision = *statement.IfRevision
	}
	answer := e.submit(ctx, change)
	e.logger.WithFields(logrus.Fields{
		"change": answer.ID, "author": change.Author, "outcome": answer.Outcome, "revision": answer.Revision,
	}).Info("operator's change")
	answer.Waited = statement.Wait > 0
	if answer.Waited {
		e.awaitForce(ctx, answer, statement.Wait)
	} else {
		e.fillForce(ctx, answer)
	}
	return Result{Change: answer}
}

func (e *Executor) submit(ctx context.Context, change configlog.Change) *ChangeResult {
	// An operator who goes away must not leave a half-settled change behind.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.config.SubmitTimeout)
	defer cancel()
	return e.answer(e.changes.Submit(ctx, change), change.ID)
}

func (e *Executor) answer(result configlog.Result, id string) *ChangeResult {
	return &ChangeResult{
		ID:        id,
		Outcome:   result.Outcome,
		Revision:  result.Revision,
		BeatenBy:  result.BeatenBy,
		Code:      result.Code,
		Message:   result.Message,
		AsOf:      time.Now(),
		HeardFrom: []string{e.config.Node},
	}
}

// fillForce asks once how far an accepted change is in force.
func (e *Executor) fillForce(ctx context.Context, answer *ChangeResult) {
	if answer.Outcome != configlog.OutcomeAccepted {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.config.ForceTimeout)
	defer cancel()
	force := e.changes.InForce(ctx, answer.Revision)
	answer.Force = &force
	answer.AsOf = force.AsOf
	answer.HeardFrom = heardFrom(e.config.Node, force.Confirmed)
}

// heardFrom names the answering node first, and each node once.
func heardFrom(node string, others []string) []string {
	names := []string{node}
	for _, other := range others {
		if other != node {
			names = append(names, other)
		}
	}
	return names
}

// awaitForce asks until an accepted change is in force or the time is over.
func (e *Executor) awaitForce(ctx context.Context, answer *ChangeResult, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(e.config.PollInterval)
	defer ticker.Stop()
	for {
		previous := *answer
		e.fillForce(ctx, answer)
		if answer.Outcome != configlog.OutcomeAccepted || answer.Force.Everywhere() {
			return
		}
		if ctx.Err() != nil {
			// The last question was cut short by the end of the wait.
			keepBetter(answer, previous)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// keepBetter puts the previous report back where it knows more, with who told it
// and when: a node that confirmed a revision never takes it back.
func keepBetter(answer *ChangeResult, previous ChangeResult) {
	if previous.Force != nil && len(previous.Force.Confirmed) > len(answer.Force.Confirmed) {
		*answer = previous
	}
}
