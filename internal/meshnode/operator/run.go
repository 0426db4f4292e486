package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// ExitCode is the exit code of a program that ran a query.
type ExitCode int

const (
	// ExitDone means that every statement succeeded.
	ExitDone ExitCode = 0
	// ExitNo means that a statement did not succeed, or that its fate is not
	// known.
	ExitNo ExitCode = 1
	// ExitSyntax means that the text has a mistake and nothing ran.
	ExitSyntax ExitCode = 2
)

// RunOptions say how Run asks and shows.
type RunOptions struct {
	Author string
	Output query.Output
	// Width is the terminal's width in characters; zero means no limit.
	Width int
	// QueryID gives the changes their ids; a new one is chosen if it is zero.
	// Running the same text again with the same id changes nothing twice.
	QueryID uuid.UUID
}

// Run asks the node to run the text and shows the results on w as they come.
// What went wrong is shown on w too; with OutputJSON as an api.Error or a
// LostAnswer.
func Run(ctx context.Context, client *Client, source string, options RunOptions, w io.Writer) ExitCode {
	if options.QueryID == uuid.Nil {
		options.QueryID = uuid.New()
	}
	run := &run{options: options, batch: query.NewBatch(options.QueryID, options.Author, source), source: source, w: w}
	request := QueryRequest{ID: options.QueryID.String(), Author: options.Author, Statements: source}
	summary, err := client.Query(ctx, request, run.show)
	if err != nil {
		return run.fail(err)
	}
	if summary.Failed < 0 {
		return ExitDone
	}
	run.showNotRun(summary)
	return ExitNo
}

// LostAnswer tells a program what is not known after an answer was lost.
type LostAnswer struct {
	Error string `json:"error"`
	// Answered counts the statements whose result arrived.
	Answered int `json:"answered"`
	// MaybeRun lists the changes that may have been made or may yet be.
	MaybeRun []MaybeChange `json:"maybe_run,omitempty"`
}

// MaybeChange is a change whose fate is not known.
type MaybeChange struct {
	ID        string `json:"id"`
	Statement string `json:"statement"`
}

// run shows the answer to one text.
type run struct {
	options  RunOptions
	batch    query.Batch
	source   string
	w        io.Writer
	answered int
}

func (r *run) show(result query.Result) {
	r.answered++
	if r.options.Output != query.OutputJSON && result.Index > 0 {
		fmt.Fprintln(r.w)
	}
	// A writer that fails is the program's own output; there is nowhere to say so.
	_ = query.Render(r.w, result, r.options.Output, r.options.Width)
}

func (r *run) showNotRun(summary query.Summary) {
	if r.options.Output == query.OutputJSON {
		r.json(StreamLine{Summary: &summary})
		return
	}
	if len(summary.NotRun) == 0 {
		return
	}
	fmt.Fprintf(r.w, "\n%d of %d statements done; stopped at statement %d; not run:\n",
		summary.Done, summary.Failed+1+len(summary.NotRun), summary.Failed+1)
	for _, text := range summary.NotRun {
		fmt.Fprintf(r.w, "  %s;\n", text)
	}
}

func (r *run) json(value any) { _ = json.NewEncoder(r.w).Encode(value) }

func (r *run) fail(err error) ExitCode {
	var refusal *api.Error
	if errors.As(err, &refusal) {
		return r.refused(refusal)
	}
	if errors.Is(err, ErrNotSent) {
		r.lost(LostAnswer{Error: err.Error()}, "nothing was sent")
		return ExitNo
	}
	lost := LostAnswer{Error: err.Error(), Answered: r.answered, MaybeRun: r.maybeRun()}
	r.lost(lost, fmt.Sprintf("%d results arrived", r.answered))
	return ExitNo
}

func (r *run) refused(refusal *api.Error) ExitCode {
	if r.options.Output == query.OutputJSON {
		r.json(refusal)
	} else {
		fmt.Fprintln(r.w, refusal.Message)
	}
	if refusal.Code == api.CodeSyntax {
		return ExitSyntax
	}
	return ExitNo
}

func (r *run) lost(lost LostAnswer, summary string) {
	if r.options.Output == query.OutputJSON {
		r.json(lost)
		return
	}
	fmt.Fprintf(r.w, "no answer, %s: %s\n", summary, lost.Error)
	for _, change := range lost.MaybeRun {
		fmt.Fprintf(r.w, "unknown whether this was done: %s; ask with SHOW CHANGE '%s'\n", change.Statement, change.ID)
	}
}

// maybeRun lists the changes of the text whose result did not arrive.
func (r *run) maybeRun() []MaybeChange {
	statements, err := query.Parse(r.source, nil)
	if err != nil {
		// This program is of another release than the node and cannot read the
		// text; the id of the change that was under way is known all the same.
		return []MaybeChange{{ID: r.batch.ChangeID(r.answered), Statement: "statement " + fmt.Sprint(r.answered+1)}}
	}
	var changes []MaybeChange
	for index := r.answered; index < len(statements); index++ {
		if _, isChange := statements[index].Statement.(query.Change); isChange {
			changes = append(changes, MaybeChange{ID: r.batch.ChangeID(index), Statement: statements[index].Text})
		}
	}
	return changes
}
