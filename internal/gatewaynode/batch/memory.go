package batch

import (
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// Placement by memory. The requests at a backend share its token cache. A few long items can
// fill the cache while slots are still free. A backend that runs out of memory preempts
// requests: they produce no events until there is room, and their tokens are then processed
// again. The node that owns a job knows how many tokens its runs occupy and estimates how many
// they will occupy at their ends.
const (
	// memoryFree is the share of a backend's memory up to which the expected usage adds no
	// cost.
	memoryFree = 0.8
	// memorySlowdown is the slowdown per multiple of a backend's memory by which the expected
	// usage exceeds memoryFree.
	memorySlowdown = 2.0
	// maxMemoryShare is the maximum share of a backend's memory in use after the start of a run.
	maxMemoryShare = 0.9
	// tokenStep is the multiple to which the tokens of an item are rounded up, so that items
	// of similar size have the same need.
	tokenStep = 1024
	// overrun is the minimum ratio of the expected length of an item to its current length, since
	// an item may exceed its estimate.
	overrun = 1.5
)

// usage is the resource usage of this node's runs at a backend.
type usage struct {
	// prompts is in tokens, events and expectedEvents are in events.
	prompts, events, expectedEvents int
	// reserved is the number of slots reserved for items that are being moved to the backend.
	reserved int
}

// tokens returns the number of tokens in use now and that expected at the ends of the runs.
func (u usage) tokens(eventTokens int) (held, expected int) {
	return u.prompts + u.events*eventTokens, u.prompts + u.expectedEvents*eventTokens
}

// usages returns the usage of this node's runs by backend ID. The caller holds r.mu.
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

// expectedEvents returns the expected number of events of an item at its end. The caller holds
// r.mu.
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

// fillMemory sets the memory of the backends of a service from the usage of this node's runs.
// It does nothing if the size of the memory is not configured.
func fillMemory(backends []fleet.Backend, service routetable.Service, used map[string]usage) {
	if service.CacheTokens <= 0 {
		return
	}
	for i := range backends {
		held, expected := used[backends[i].ID].tokens(service.EventTokens)
		backends[i].Memory = fleet.Memory{Capacity: service.CacheTokens, Held: held, Expected: expected}
	}
}

// itemMemory returns the number of tokens that an item occupies at the start of its next run
// and the number expected at its end, both rounded up to multiples of tokenStep. The caller
// holds r.mu.
func (r *runner) itemMemory(job *ownedJob, index, eventTokens int) (held, expected int) {
	u := usage{
		prompts: job.spec.Items[index].PromptTokens, events: len(job.items[index].text.events),
		expectedEvents: r.expectedEvents(job, index),
	}
	held, expected = u.tokens(eventTokens)
	return roundTokens(held), roundTokens(expected)
}

func roundTokens(tokens int) int { return (tokens + tokenStep - 1) / tokenStep * tokenStep }

// memoryCost returns the cost factor of a backend for an item that is expected to occupy the
// given number of tokens at its end. It is 1 while the memory suffices.
func memoryCost(b *fleet.Backend, expected int) float64 {
	return 1 + memorySlowdown*max(0, b.Memory.ExpectedUtilization(expected)-memoryFree)
}

// hasMemory reports whether a backend has memory for a run that starts with held tokens. A
// backend without other runs accepts any item, so that one larger than the memory of every
// backend still starts.
func hasMemory(b *fleet.Backend, held int) bool {
	return b.Memory.Held == 0 || b.Memory.Utilization(held) <= maxMemoryShare
}

// takeMemory accounts for the memory of an item that was assigned to b.
func takeMemory(b *fleet.Backend, want need) {
	b.Memory.Held += want.held
	b.Memory.Expected += want.expected
}
