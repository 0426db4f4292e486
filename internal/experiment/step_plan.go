package experiment

import "github.com/sliplift/sliplift/internal/meshnode/rollout"

// demand is what the step tells other owners.
func (p *step) demand() rollout.StepDemand {
	counts := p.ledger.Counts()
	demand := rollout.StepDemand{
		Trainer: p.trainer.config.Name, Step: int64(p.number), Awaited: p.asked, NeededAt: p.trainer.trainEnds,
		Samples: counts.Waiting + counts.Running,
	}
	if p.asked {
		demand.NeededAt = p.askedAt
	}
	return demand
}

// moveTail moves the last samples of an awaited step to emptier engines, each
// as far as the node that runs it sees.
func (p *step) moveTail() {
	if !p.asked || p.taken || !rollout.DefaultTailConfig().InTail(len(p.requests), len(p.starts)) {
		return
	}
	byID := map[string]*request{}
	samples := map[*router][]rollout.RunningSample{}
	var routers []*router
	for _, number := range p.order {
		q := p.requests[number]
		switch {
		case q == nil || q.moving:
			continue
		case q.current == nil:
			// Something still waits: this is not the tail yet.
			return
		}
		byID[q.id] = q
		if samples[q.router] == nil {
			routers = append(routers, q.router)
		}
		samples[q.router] = append(samples[q.router], q.runningSample(p.sim.now))
	}
	for _, r := range routers {
		for _, move := range rollout.PlanMoves(rollout.DefaultTailConfig(), samples[r], r.engineLoads()) {
			r.move(byID[move.ID], p.sim.engines[p.sim.engineIndex[move.To]])
		}
	}
}
