package migrate

import (
	"context"
	"errors"
	"regexp"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/query"
	"github.com/sliplift/sliplift/internal/pause"
)

// Errors that end a run.
const (
	// ErrBeaten says that somebody else changed the configuration.
	ErrBeaten = errs.Tag("migrate: changed by somebody else")
	// ErrFateUnknown says that it could not be found out whether a change was
	// made.
	ErrFateUnknown = errs.Tag("migrate: fate unknown")
	// ErrRefused says that a change was not accepted and will not be.
	ErrRefused = errs.Tag("migrate: refused")
)

// errNotMade says that a change was certainly not made and may be worked out
// anew.
const errNotMade = errs.Tag("migrate: not made")

// changer makes changes and settles their fate.
type changer struct {
	reader
	author string
	// settle bounds the time to find out a change's fate, and poll is the time
	// between two questions.
	settle, poll time.Duration
}

// make asks for the change and returns its revision. It returns errNotMade,
// ErrRefused or ErrFateUnknown where there is none. It goes on when ctx ends,
// since a change that is under way must be settled.
func (c changer) make(ctx context.Context, change query.Change) (int64, error) {
	ctx = context.WithoutCancel(ctx)
	id := uuid.New()
	request := operator.QueryRequest{ID: id.String(), Author: c.author, Statements: change.String()}
	changeID := query.NewBatch(id, c.author, request.Statements).ChangeID(0)
	answer, err := c.send(ctx, request, change.Wait)
	if err != nil {
		return 0, err
	}
	deadline := time.Now().Add(c.settle)
	for answer == nil || answer.Outcome == configlog.OutcomeUnknown {
		if !time.Now().Before(deadline) {
			return 0, ErrFateUnknown.Errorf("%s; ask with SHOW CHANGE '%s'", request.Statements, changeID)
		}
		answer = c.lookUp(ctx, changeID)
		if answer != nil && answer.Outcome == configlog.OutcomeUnknown {
			answer = c.sendAgain(ctx, request, change.Wait)
		}
		if answer == nil || answer.Outcome == configlog.OutcomeUnknown {
			pause.For(ctx, c.poll)
		}
	}
	return revisionOf(*answer, request.Statements)
}

// send returns nil without an error where the answer was lost, and errNotMade
// where nothing was sent.
func (c changer) send(ctx context.Context, request operator.QueryRequest, wait time.Duration) (*query.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	var answer *query.ChangeResult
	var problem error
	_, err := c.port.Query(ctx, request, func(result query.Result) {
		answer = result.Change
		if result.Problem != nil {
			problem = result.Problem
		}
	})
	switch {
	case answer != nil:
		return answer, nil
	case problem != nil:
		return nil, errNotMade.Wrap(problem)
	case err == nil, errors.Is(err, operator.ErrAnswerLost):
		return nil, nil
	}
	return nil, errNotMade.Wrap(err)
}

// sendAgain sends a request whose fate is unknown once more: under its id and
// revision it is made at most once, and the answer settles its fate. An answer
// that says that this sending did nothing says nothing of the first.
func (c changer) sendAgain(ctx context.Context, request operator.QueryRequest, wait time.Duration) *query.ChangeResult {
	answer, err := c.send(ctx, request, wait)
	if err != nil || (answer != nil && answer.Outcome == configlog.OutcomeUnavailable) {
		return nil
	}
	return answer
}

// lookUp asks for the fate of a change; nil where there was no answer.
func (c changer) lookUp(ctx context.Context, changeID string) *query.ChangeResult {
	results, err := c.ask(ctx, query.ShowChange{ID: changeID})
	if err != nil {
		return nil
	}
	return results[0].Change
}

func revisionOf(answer query.ChangeResult, statement string) (int64, error) {
	switch answer.Outcome {
	case configlog.OutcomeAccepted:
		return answer.Revision, nil
	case configlog.OutcomeConflict:
		return 0, errNotMade.Errorf("%s: revision %d came first", statement, answer.BeatenBy)
	case configlog.OutcomeUnavailable:
		return 0, errNotMade.Errorf("%s: %s", statement, answer.Message)
	}
	return 0, ErrRefused.Errorf("%s: %s", statement, answer.Message)
}

// routineChange matches descriptions of changes that the system makes by itself
// and that no operator decides on.
var routineChange = regexp.MustCompile(`^(publish version \d+ of pool .*|set \d+ claim members)$`)

// foreign returns ErrBeaten if one of the revisions above known, up to current,
// is not a routine change.
func (r reader) foreign(ctx context.Context, known, current int64) error {
	if current <= known {
		return nil
	}
	tables, err := r.askTables(ctx, query.Show{Table: query.TableChanges, Where: query.And{Terms: []query.Condition{
		where("revision", query.OperatorGreater, query.Int(known)),
		where("revision", query.OperatorLessOrEqual, query.Int(current)),
	}}, Order: []query.OrderBy{{Column: "revision"}}})
	if err != nil {
		return err
	}
	for _, cells := range tables[0].Rows {
		change := row{tables[0], cells}
		if description := change.text("change"); !routineChange.MatchString(description) {
			return ErrBeaten.Errorf("revision %d by %s came first: %s", change.integer("revision"), change.cell("author"), description)
		}
	}
	if seen := int64(len(tables[0].Rows)); seen < current-known {
		return ErrBeaten.Errorf("%d of the revisions %d to %d are no longer known", current-known-seen, known+1, current)
	}
	return nil
}

// notInForce says which nodes have not confirmed the revision. It says nothing
// where the change is no longer listed: the next one tells, since nodes apply
// revisions in order.
func (r reader) notInForce(ctx context.Context, revision int64) (string, error) {
	tables, err := r.askTables(ctx, query.Show{Table: query.TableChanges, Where: where("revision", query.OperatorEqual, query.Int(revision))})
	if err != nil || len(tables[0].Rows) == 0 {
		return "", err
	}
	results, err := r.ask(ctx, query.ShowChange{ID: row{tables[0], tables[0].Rows[0]}.text("id")})
	if err != nil {
		return "", err
	}
	force := results[0].Change.Force
	if force == nil {
		return "", ErrNoAnswer.Errorf("how far revision %d is in force", revision)
	}
	if force.Everywhere() {
		return "", nil
	}
	return describeMissing(*force), nil
}

func describeMissing(force configlog.ForceReport) string {
	names := make([]string, 0, len(force.Missing))
	for _, member := range force.Missing {
		names = append(names, member.String())
	}
	return "not in force at " + strings.Join(names, ", ")
}
