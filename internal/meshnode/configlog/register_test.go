package configlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
)

// registerInput is a write of a value, conditional on a revision if it is not
// zero, or a read.
type registerInput struct {
	read       bool
	value      string
	ifRevision int64
}

type registerOutput struct {
	outcome  Outcome
	revision int64
	value    string
}

type registerState struct {
	revision int64
	value    string
}

// registerModel is the configuration as one register: an accepted write makes
// exactly the revision that it was told.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		return stepRegister(state.(registerState), input.(registerInput), output.(registerOutput))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

func stepRegister(state registerState, in registerInput, out registerOutput) []any {
	written := registerState{revision: state.revision + 1, value: in.value}
	applies := in.ifRevision == 0 || in.ifRevision == state.revision
	switch {
	case in.read:
		if out.revision == state.revision && out.value == state.value {
			return []any{state}
		}
	case out.outcome == OutcomeAccepted:
		if applies && out.revision == written.revision {
			return []any{written}
		}
	case out.outcome == OutcomeConflict:
		if !applies {
			return []any{state}
		}
	case out.outcome == OutcomeUnknown:
		if applies {
			return []any{state, written}
		}
		return []any{state}
	case out.outcome == OutcomeUnavailable:
		return []any{state}
	}
	return nil
}

const (
	registerClients    = 4
	registerOperations = 12
	registerSeeds      = 20
)

// recordRegister lets clients write and read through a table that is slow and
// loses answers before and after effect.
func recordRegister(t *testing.T, seed uint64, faults Faults) []porcupine.Operation {
	var history []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.rng = rand.New(rand.NewPCG(seed, seed))
		var mu sync.Mutex
		var clients sync.WaitGroup
		for client := range registerClients {
			clients.Go(func() {
				run := &registerClient{
					name: client, store: NewStore(table, seed+uint64(client), faults), log: NewLog(),
					rng: rand.New(rand.NewPCG(seed, uint64(client))),
				}
				defer func() {
					if run.forked && !faults.NoCondition {
						t.Errorf("seed %d: the log was forked", seed)
					}
				}()
				for i := range registerOperations {
					operation := run.operate(t.Context(), i)
					mu.Lock()
					history = append(history, operation)
					mu.Unlock()
				}
			})
		}
		clients.Wait()
	})
	return history
}

type registerClient struct {
	name  int
	store *Store
	log   *Log
	rng   *rand.Rand
	// forked is set where the table contradicted what the client had read.
	forked bool
}

func (c *registerClient) operate(ctx context.Context, i int) porcupine.Operation {
	ctx, cancel := context.WithTimeout(ctx, 60*time.Millisecond)
	defer cancel()
	operation := porcupine.Operation{ClientId: c.name, Call: time.Now().UnixNano()}
	input := registerInput{value: fmt.Sprintf("%d/%d", c.name, i)}
	var output registerOutput
	switch c.rng.IntN(4) {
	case 0:
		input.read = true
		log, err := c.store.Read(ctx, c.log)
		for err != nil {
			if errors.Is(err, ErrTableBehind) {
				c.log = NewLog() // only without conditions: begin anew, as a restarted node
				c.forked = true
			}
			log, err = c.store.Read(context.WithoutCancel(ctx), c.log)
		}
		c.log = log
		output = registerOutput{revision: log.Revision(), value: log.State().Settings["value"]}
	case 1:
		input.ifRevision = max(c.log.Revision(), 1)
		fallthrough
	default:
		change := NewChange(fmt.Sprint(c.name), Operation{SetSetting: &SetSetting{Name: "value", Value: input.value}})
		change.IfRevision = input.ifRevision
		result, log := c.store.Submit(ctx, c.log, change)
		c.log = log
		output = registerOutput{outcome: result.Outcome, revision: result.Revision}
	}
	operation.Input, operation.Output, operation.Return = input, output, time.Now().UnixNano()
	if output.outcome == OutcomeUnknown {
		operation.Return = time.Now().Add(time.Hour).UnixNano() // it may yet take effect
	}
	return operation
}

// TestRegister judges histories of racing submitters with lost answers.
func TestRegister(t *testing.T) {
	counts := map[Outcome]int{}
	for seed := range uint64(registerSeeds) {
		history := recordRegister(t, seed, Faults{})
		for _, operation := range history {
			counts[operation.Output.(registerOutput).outcome]++
		}
		if !porcupine.CheckOperations(registerModel.ToModel(), history) {
			t.Fatalf("seed %d: the history is not linearizable", seed)
		}
	}
	for _, outcome := range []Outcome{OutcomeAccepted, OutcomeConflict, OutcomeUnknown, OutcomeUnavailable} {
		if counts[outcome] == 0 {
			t.Errorf("no operation ended as %s: %v", outcome, counts)
		}
	}
}

// TestRegisterWithoutCondition shows that the check fails without the
// compare-and-swap.
func TestRegisterWithoutCondition(t *testing.T) {
	for seed := range uint64(registerSeeds) {
		history := recordRegister(t, seed, Faults{NoCondition: true})
		if !porcupine.CheckOperations(registerModel.ToModel(), history) {
			return
		}
	}
	t.Fatal("every history was linearizable without conditions")
}
