// Package shell is the interactive loop of the operators' language. It reads
// lines, gathers them until a semicolon ends the statement, asks a node and
// shows the answer. On a terminal it keeps a history and completes keywords,
// columns and the names of pools, back ends and nodes; elsewhere it reads plain
// lines and stops at the first statement that does not succeed.
package shell

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"

	"github.com/chzyer/readline"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

const (
	prompt             = "sliplift> "
	continuationPrompt = "      ... "
)

const helpText = `Statements end with a semicolon. For example:
  SHOW engines WHERE pool = chat ORDER BY running DESC LIMIT 5;
  DRAIN ENGINE engine-3 WAIT 10 SECONDS;
  SHOW CHANGE 'id';
Tab completes, exit or Ctrl-D leaves.
`

// Config sets up a shell.
type Config struct {
	Client  *operator.Client
	Options operator.RunOptions
	Input   io.ReadCloser
	Output  io.Writer
	// Interactive says that Input is a terminal.
	Interactive bool
	// HistoryFile keeps the history between runs; empty for none.
	HistoryFile string
}

// lineReader reads one line without its end. It returns io.EOF at the end and
// readline.ErrInterrupt when the operator drops the line.
type lineReader interface {
	ReadLine(prompt string) (string, error)
	Close() error
}

// Run reads and runs statements until the end of the input, exit or the end of
// ctx. It returns ExitDone if the operator left an interactive shell, and else
// the exit code of the statement at which it stopped.
func Run(ctx context.Context, config Config) (operator.ExitCode, error) {
	reader, err := newReader(ctx, config)
	if err != nil {
		return operator.ExitNo, err
	}
	defer reader.Close()
	s := &shell{config: config, reader: reader}
	return s.loop(ctx)
}

func newReader(ctx context.Context, config Config) (lineReader, error) {
	if !config.Interactive {
		return &plainReader{scanner: bufio.NewScanner(config.Input)}, nil
	}
	completer := &completer{names: newNameCache(ctx, config.Client)}
	instance, err := readline.NewEx(&readline.Config{
		Prompt:            prompt,
		HistoryFile:       config.HistoryFile,
		HistorySearchFold: true,
		AutoComplete:      completer,
		Stdin:             config.Input,
		Stdout:            config.Output,
		// A statement is saved whole, not line by line.
		DisableAutoSaveHistory: true,
	})
	if err != nil {
		return nil, errs.Wrap(err)
	}
	return &terminalReader{instance: instance, completer: completer}, nil
}

// shell is one run of the loop.
type shell struct {
	config Config
	reader lineReader
	// pending holds the lines of a statement that has not ended.
	pending string
}

func (s *shell) loop(ctx context.Context) (operator.ExitCode, error) {
	for ctx.Err() == nil {
		line, err := s.reader.ReadLine(s.prompt())
		switch {
		case errors.Is(err, readline.ErrInterrupt):
			s.pending = ""
			continue
		case errors.Is(err, io.EOF):
			return s.finish(ctx), nil
		case err != nil:
			return operator.ExitNo, errs.Wrap(err)
		}
		if s.pending == "" && isExit(line) {
			return operator.ExitDone, nil
		}
		if code := s.take(ctx, line); code != operator.ExitDone && !s.config.Interactive {
			return code, nil
		}
	}
	return operator.ExitNo, ctx.Err()
}

func (s *shell) prompt() string {
	if s.pending == "" {
		return prompt
	}
	return continuationPrompt
}

func isExit(line string) bool {
	switch strings.ToLower(strings.Trim(line, " \t;")) {
	case "exit", "quit", `\q`:
		return true
	}
	return false
}

// take adds a line and runs the text once it ends a statement.
func (s *shell) take(ctx context.Context, line string) operator.ExitCode {
	if s.pending == "" && strings.EqualFold(strings.Trim(line, " \t;"), "help") {
		fmt.Fprint(s.config.Output, helpText)
		return operator.ExitDone
	}
	s.pending += line + "\n"
	if query.Blank(s.pending) {
		s.pending = ""
		return operator.ExitDone
	}
	if !query.EndsStatement(s.pending) {
		return operator.ExitDone
	}
	return s.run(ctx)
}

// finish runs what stands at the end of a plain input without a semicolon.
func (s *shell) finish(ctx context.Context) operator.ExitCode {
	if s.config.Interactive || query.Blank(s.pending) {
		return operator.ExitDone
	}
	return s.run(ctx)
}

// run asks the node. An interrupt ends the waiting, not the shell.
func (s *shell) run(ctx context.Context) operator.ExitCode {
	text := strings.TrimSpace(s.pending)
	s.pending = ""
	if s.config.Interactive {
		var stop context.CancelFunc
		ctx, stop = signal.NotifyContext(ctx, os.Interrupt)
		defer stop()
	}
	if saver, ok := s.reader.(interface{ Save(text string) }); ok {
		saver.Save(text)
	}
	return operator.Run(ctx, s.config.Client, text, s.config.Options, s.config.Output)
}

// plainReader reads lines from a file or pipe.
type plainReader struct {
	scanner *bufio.Scanner
}

// ReadLine implements lineReader.
func (r *plainReader) ReadLine(string) (string, error) {
	if r.scanner.Scan() {
		return r.scanner.Text(), nil
	}
	if err := r.scanner.Err(); err != nil {
		return "", err
	}
	return "", io.EOF
}

// Close implements lineReader.
func (r *plainReader) Close() error { return nil }

// terminalReader reads lines that the operator edits.
type terminalReader struct {
	instance  *readline.Instance
	completer *completer
	before    string
}

// ReadLine implements lineReader.
func (r *terminalReader) ReadLine(prompt string) (string, error) {
	if prompt != continuationPrompt {
		r.before = ""
	}
	r.completer.before = r.before
	r.instance.SetPrompt(prompt)
	line, err := r.instance.Readline()
	r.before += line + "\n"
	return line, err
}

// Save puts a whole text into the history, on one line.
func (r *terminalReader) Save(text string) {
	if strings.Contains(text, "--") {
		// On one line a comment would swallow what follows it.
		return
	}
	// A history that cannot be written is no reason to disturb the operator.
	_ = r.instance.SaveHistory(strings.ReplaceAll(text, "\n", " "))
}

// Close implements lineReader.
func (r *terminalReader) Close() error { return r.instance.Close() }
