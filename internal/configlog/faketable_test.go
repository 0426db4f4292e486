package configlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

var errNoAnswer = errors.New("no answer")

// fakeTable is the table service in memory, with faults.
type fakeTable struct {
	mu       sync.Mutex
	rows     map[string]api.Row
	revision int64
	// down fails every operation before it takes effect.
	down bool
	// loseAnswers is the number of commits whose answer is lost after effect;
	// beforeCommit runs before the next commit takes effect.
	loseAnswers  int
	beforeCommit func()
	// rng, if set, delays operations and loses answers, before or after effect,
	// at random.
	rng *rand.Rand
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]api.Row{}} }

const (
	fakeDelayMax  = 30 * time.Millisecond
	fakeLossShare = 0.3
)

// enter waits as the network would and tells whether the answer gets lost, and
// whether the operation takes effect.
func (f *fakeTable) enter(commit bool) (lost, effect bool) {
	f.mu.Lock()
	if f.rng == nil {
		defer f.mu.Unlock()
		if commit && f.loseAnswers > 0 {
			f.loseAnswers--
			return true, true
		}
		return f.down, !f.down
	}
	delay := time.Duration(f.rng.Int64N(int64(fakeDelayMax)))
	lost = f.rng.Float64() < fakeLossShare
	effect = !lost || f.rng.Float64() < 0.7
	f.mu.Unlock()
	time.Sleep(delay)
	return lost, effect
}

func (f *fakeTable) Commit(_ context.Context, t api.Transaction) (api.TransactionResponse, error) {
	if hook := f.takeHook(); hook != nil {
		hook()
	}
	lost, effect := f.enter(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	var err error
	if effect {
		err = f.apply(t)
	}
	if lost {
		return api.TransactionResponse{}, errNoAnswer
	}
	return api.TransactionResponse{Revision: f.revision}, err
}

func (f *fakeTable) takeHook() func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	hook := f.beforeCommit
	f.beforeCommit = nil
	return hook
}

func (f *fakeTable) apply(t api.Transaction) error {
	for _, condition := range t.Conditions {
		if f.rows[condition.Key].Revision != condition.Revision {
			return api.Refusal(409, api.CodeConditionFailed, 0, "row %s", condition.Key)
		}
	}
	f.revision++
	for _, put := range t.Puts {
		f.rows[put.Key] = api.Row{Key: put.Key, Value: put.Value, Revision: f.revision}
	}
	for _, key := range t.Deletes {
		delete(f.rows, key)
	}
	return nil
}

func (f *fakeTable) Get(_ context.Context, key string) (api.Row, error) {
	lost, _ := f.enter(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	if lost {
		return api.Row{}, errNoAnswer
	}
	row, ok := f.rows[key]
	if !ok {
		return api.Row{}, api.Refusal(404, api.CodeNotFound, 0, "row %s", key)
	}
	return row, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix, after string, limit int) (api.ScanResponse, error) {
	lost, _ := f.enter(false)
	f.mu.Lock()
	defer f.mu.Unlock()
	if lost {
		return api.ScanResponse{}, errNoAnswer
	}
	var rows []api.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b api.Row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	return api.ScanResponse{Rows: rows[:min(limit, len(rows))], Revision: f.revision, More: more}, nil
}
