package configlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	emulated "github.com/sliplift/sliplift/internal/emulator/table"
)

var errNoAnswer = errors.New("no answer")

// fakeTable is the emulated table behind a connection with faults.
type fakeTable struct {
	*emulated.Service
	mu sync.Mutex
	// down fails every operation before it takes effect.
	down bool
	// loseAnswers is the number of commits whose answer is lost, a refusal too;
	// beforeCommit runs before the next commit takes effect.
	loseAnswers  int
	beforeCommit func()
	// rng, if set, delays operations and loses answers, before or after effect,
	// at random.
	rng *rand.Rand
}

func newFakeTable() *fakeTable {
	return &fakeTable{Service: emulated.NewService(emulated.Config{Name: "table"}, fault.NewSet(1))}
}

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

func (f *fakeTable) Commit(ctx context.Context, t api.Transaction) (response api.TransactionResponse, err error) {
	f.mu.Lock()
	hook := f.beforeCommit
	f.beforeCommit = nil
	f.mu.Unlock()
	if hook != nil {
		hook()
	}
	lost, effect := f.enter(true)
	if effect {
		response, err = f.Service.Commit(context.WithoutCancel(ctx), t)
	}
	if lost {
		return api.TransactionResponse{}, errNoAnswer
	}
	return response, err
}

func (f *fakeTable) Get(ctx context.Context, key string) (api.Row, error) {
	if lost, _ := f.enter(false); lost {
		return api.Row{}, errNoAnswer
	}
	return f.Service.Get(context.WithoutCancel(ctx), key)
}

func (f *fakeTable) Scan(ctx context.Context, prefix, after string, limit int) (api.ScanResponse, error) {
	if lost, _ := f.enter(false); lost {
		return api.ScanResponse{}, errNoAnswer
	}
	return f.Service.Scan(context.WithoutCancel(ctx), prefix, after, limit)
}

// keys returns the keys of all rows, of which there are at most 1,000.
func (f *fakeTable) keys() (keys []string) {
	all, _ := f.Service.Scan(context.Background(), "", "", 1000)
	for _, row := range all.Rows {
		keys = append(keys, row.Key)
	}
	return keys
}
