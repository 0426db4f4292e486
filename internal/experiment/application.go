package experiment

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/sliplift/sliplift/internal/meshnode/routing"
)

// applications is the pool of application instances and the requests to them.
// They share nothing with the engines, so what is measured here shows that
// training leaves them alone.
type applications struct {
	sim       *simulation
	random    *rand.Rand
	instances []*instance
	policies  []routing.Policy
	pools     []routing.Pool
}

// instance serves up to a number of requests at once, in order of arrival.
type instance struct {
	zone    int
	running int
	waiting []func()
}

func (s *simulation) newApplications() *applications {
	a := &applications{sim: s, random: s.work.randomFor("applications")}
	for i := range s.scenario.Applications {
		a.instances = append(a.instances, &instance{zone: i % s.scenario.Zones})
	}
	for node := range s.scenario.Nodes {
		policy, err := routing.NewPolicy(routing.PolicyName(s.plan.Routing), s.seed+int64(node))
		if err != nil {
			panic("experiment: " + err.Error())
		}
		pool := routing.Pool{Name: "applications"}
		for i, target := range a.instances {
			pool.Backends = append(pool.Backends, routing.Backend{
				Name: fmt.Sprintf("application-%d", i), Zone: zoneName(target.zone), Capacity: s.scenario.ApplicationSlots,
			})
		}
		a.policies = append(a.policies, policy)
		a.pools = append(a.pools, pool)
	}
	if s.scenario.ApplicationRate > 0 && len(a.instances) > 0 {
		s.after(a.pause(), a.arrive)
	}
	return a
}

func (a *applications) pause() time.Duration {
	return time.Duration(a.random.ExpFloat64() / a.sim.scenario.ApplicationRate * float64(time.Second))
}

// arrive is a request of a caller to its node, which chooses by what it has in
// flight itself.
func (a *applications) arrive() {
	s := a.sim
	node := a.random.Intn(len(a.pools))
	zone := node % s.scenario.Zones
	pool := &a.pools[node]
	begun := s.now
	s.after(s.scenario.CallerLatency, func() {
		choice := routing.Choose(a.policies[node], pool, &routing.Request{Zone: zoneName(zone)})
		index := backendIndex(pool, choice.Backend.Name)
		target := a.instances[index]
		hop := s.latency(zone, target.zone)
		pool.Backends[index].InFlight++
		s.after(hop, func() {
			a.serve(target, func() {
				s.after(hop, func() { pool.Backends[index].InFlight-- })
				s.after(hop+s.scenario.CallerLatency, func() { s.stats.applicationLatency(s.now - begun) })
			})
		})
	})
	s.after(a.pause(), a.arrive)
}

func backendIndex(pool *routing.Pool, name string) int {
	for i := range pool.Backends {
		if pool.Backends[i].Name == name {
			return i
		}
	}
	panic("experiment: unknown back end " + name)
}

func (a *applications) serve(target *instance, done func()) {
	if target.running >= a.sim.scenario.ApplicationSlots {
		target.waiting = append(target.waiting, done)
		return
	}
	target.running++
	a.sim.after(a.sim.scenario.ApplicationDelay, func() {
		target.running--
		done()
		if len(target.waiting) > 0 {
			next := target.waiting[0]
			target.waiting = target.waiting[1:]
			a.serve(target, next)
		}
	})
}
