package batch

import (
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// Placement by memory. The requests that a back end runs share its memory for tokens:
// a long item holds several times what a usual one does, so that a few of them fill a
// back end whose slots are free. One that runs out puts requests back, which are
// silent until there is room, and are read anew. The owner knows the tokens of its own
// runs exactly, and what they are expected to come to.

// The shares below were set before they were measured, and measured together: rounds 1
// and 2 of docs/design/shifted.md.
const (
	// memoryFree is the share of the memory up to which what is expected to be held
	// costs nothing.
	memoryFree = 0.8
	// memorySlowdown is how much slower a back end is taken to be whose memory is
	// expected to be asked for once more than it is there.
	memorySlowdown = 2.0
	// memoryMost is the share of the memory up to which a run may begin.
	memoryMost = 0.9
	// tokenStep is what tokens of an item are rounded up to, so that items of about one
	// size are placed alike.
	tokenStep = 1024
	// overrun is how much longer than it is an item is taken to become that is longer
	// already than was expected: few are, and those by far.
	overrun = 1.5
)

// usage is what runs at a back end hold.
type usage struct {
	prompts, events, expectedEvents int
	// reserved is the slots that are kept free for items which are being moved there.
	reserved int
}

// tokens returns the tokens held now and those expected at the ends.
func (u usage) tokens(eventTokens int) (held, expected int) {
	return u.prompts + u.events*eventTokens, u.prompts + u.expectedEvents*eventTokens
}

// usages returns what all runs of this node hold, by back end. The lock is held.
func (r *runner) usages() map[string]usage {
	found := make(map[string]usage)
	for _, job := range r.jobs {
		if !job.ready {
			continue
		}
		for i := range job.items {
			item := &job.items[i]
			if item.target != "" && (item.phase == phaseRunning || item.phase == phaseWaiting) {
				u := found[item.target]
				u.reserved++
				found[item.target] = u
			}
			if item.phase != phaseRunning {
				continue
			}
			u := found[item.backend]
			u.prompts += job.spec.Items[i].PromptTokens
			u.events += len(item.text.events)
			u.expectedEvents += r.expectedEvents(job, i)
			found[item.backend] = u
		}
	}
	return found
}

// expectedEvents returns how many events an item is expected to have at its end. The
// lock is held.
func (r *runner) expectedEvents(job *ownedJob, index int) int {
	made := len(job.items[index].text.events)
	expected := int(r.lengths.expected(job.spec.Items[index].LengthHint))
	if float64(made) > float64(expected)/overrun {
		expected = int(overrun * float64(made))
	}
	if longest := r.lengths.longest[job.spec.Model]; longest > made {
		expected = min(expected, longest)
	}
	return max(expected, made)
}

// fillMemory tells the back ends of a service what is held at each.
func fillMemory(backends []fleet.Backend, service routetable.Service, used map[string]usage) {
	if service.CacheTokens <= 0 {
		return
	}
	for i := range backends {
		held, expected := used[backends[i].ID].tokens(service.EventTokens)
		backends[i].Memory = fleet.Memory{Most: service.CacheTokens, Held: held, Expected: expected}
	}
}

// itemMemory returns what an item holds when it begins to run and what it is expected
// to hold at its end, in steps of tokenStep. The lock is held.
func (r *runner) itemMemory(job *ownedJob, index, eventTokens int) (held, expected int) {
	u := usage{
		prompts: job.spec.Items[index].PromptTokens, events: len(job.items[index].text.events),
		expectedEvents: r.expectedEvents(job, index),
	}
	held, expected = u.tokens(eventTokens)
	return roundTokens(held), roundTokens(expected)
}

func roundTokens(tokens int) int { return (tokens + tokenStep - 1) / tokenStep * tokenStep }

// memoryCost returns by how much what an item is expected to hold makes a back end
// worse: 1 for none. It is pure.
func memoryCost(b *fleet.Backend, expected int) float64 {
	return 1 + memorySlowdown*max(0, b.Memory.Crowded(expected)-memoryFree)
}

// hasMemory tells whether a run that holds so many tokens may begin at a back end. One
// that no back end has memory for begins where nothing else runs: the back end decides.
func hasMemory(b *fleet.Backend, held int) bool {
	return b.Memory.Held == 0 || b.Memory.Full(held) <= memoryMost
}

// takeMemory counts an item that was given to a back end.
func takeMemory(b *fleet.Backend, want need) {
	b.Memory.Held += want.held
	b.Memory.Expected += want.expected
}
