package forward

import (
	"math/rand/v2"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// AdmissionRequest describes a request to the admission decision before its first attempt.
type AdmissionRequest struct {
	// Left is the time until the request's deadline. Target is the latency target of its
	// route, 0 if none is set.
	Left, Target time.Duration
	// ServiceTime is how long a backend with a free slot takes to answer on this route, 0 if
	// not known.
	ServiceTime time.Duration
}

// Admission is the decision on a request before its first attempt.
type Admission struct {
	Refused bool
	// CapacityDelay is the estimated time until the request could be admitted, if refused.
	CapacityDelay time.Duration
}

const (
	// targetShare is the share of the latency target within which the response has to be
	// expected. A share of 1 admits requests that miss the target when the estimate of the
	// wait is too low; a much smaller share leaves slots idle between requests. At 1.3 times
	// the load that four backends can serve, 0.77 of the callers are served within the target,
	// 0.70 with a share of 1 and 0.75 with 0.25.
	targetShare = 0.5
	// serviceTimeFactor is the least latency budget of a request with a target, in multiples
	// of the service time. It admits a wait of half of the service time on routes whose target
	// is shorter than that.
	serviceTimeFactor = 1.5
)

// latencyBudget returns the time within which the response to a request has to be expected.
func latencyBudget(ask AdmissionRequest) time.Duration {
	if ask.Target == 0 {
		return ask.Left
	}
	budget := max(targetShare*float64(ask.Target), serviceTimeFactor*float64(ask.ServiceTime))
	return min(time.Duration(budget), ask.Left)
}

// Admit decides whether the given eligible backends are expected to respond within the
// latency budget. Under overload it refuses some requests early, so that those admitted are
// answered within their target instead of all of them late. It refuses none while a backend
// has a free slot or HasSpareCapacity holds.
func Admit(backends []fleet.Backend, ask AdmissionRequest, budget time.Duration, now time.Time) Admission {
	if ask.ServiceTime == 0 || len(backends) == 0 || HasSpareCapacity(backends) {
		return Admission{}
	}
	wait := EstimateWait(backends, ask.ServiceTime, now)
	if wait == 0 || ask.ServiceTime+wait <= budget {
		return Admission{}
	}
	return Admission{Refused: true, CapacityDelay: ask.ServiceTime + wait - max(budget, ask.ServiceTime)}
}

// HasSpareCapacity reports whether more than half of all slots are free and no request waits.
func HasSpareCapacity(backends []fleet.Backend) bool {
	slots, taken := 0, 0
	for i := range backends {
		if backends[i].Waiting > 0 {
			return false
		}
		slots += max(backends[i].Slots, 1)
		taken += backends[i].InFlight + backends[i].OthersRunning
	}
	return 2*taken < slots
}

// EstimateWait estimates how long one more request would wait for a slot at the backend with
// the shortest wait.
func EstimateWait(backends []fleet.Backend, serviceTime time.Duration, now time.Time) time.Duration {
	shortest := time.Duration(-1)
	for i := range backends {
		if wait := backendWait(&backends[i], serviceTime, now); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(shortest, 0)
}

// queueDrainRate is the assumed rate at which a reported queue shortens, as a share of the
// service rate. It is below 1 because other nodes may add to the queue.
const queueDrainRate = 0.5

// backendWait estimates the wait for a slot at one backend: the requests ahead without a slot
// are served first, as many at a time as there are slots. Requests of this node beyond the
// slots wait at the backend, and may be part of the queue that its last response reported.
// The reported queue is taken to shorten with its age, so that a node without recent load
// reports does not keep refusing requests.
func backendWait(backend *fleet.Backend, serviceTime time.Duration, now time.Time) time.Duration {
	slots := max(backend.Slots, 1)
	waitBehind := func(ahead int) time.Duration {
		return time.Duration(float64(serviceTime) * float64(max(ahead+1, 0)) / float64(slots))
	}
	taken := backend.InFlight + backend.OthersRunning
	reported := waitBehind(min(taken, slots)+backend.Waiting-slots) - time.Duration(queueDrainRate*float64(now.Sub(backend.LoadAt)))
	return max(waitBehind(taken-slots), reported)
}

// hasFreeSlot reports whether a backend has a free slot for one more request.
func hasFreeSlot(backend *fleet.Backend) bool {
	return backend.Waiting == 0 && backend.InFlight+backend.OthersRunning < max(backend.Slots, 1)
}

const (
	// minRetryDelay keeps callers from retrying before the load can have changed.
	minRetryDelay = 50 * time.Millisecond
	// maxRetryShare is the largest share of the remaining time after which a caller is told
	// to retry: callers wait no longer than a third of it.
	maxRetryShare = 0.33
	// retryJitter spreads the retries of callers that are refused together, as a share of the
	// delay in both directions.
	retryJitter = 0.5
)

// RetryDelay returns how long a refused caller should wait before it retries, given the
// estimated time until there is capacity and the time left to its deadline. random is in
// [0, 1] and sets the jitter.
func RetryDelay(capacityDelay, left time.Duration, random float64) time.Duration {
	spread := 1 + retryJitter*(2*random-1)
	wait := time.Duration(spread * float64(max(capacityDelay, minRetryDelay)))
	return max(min(wait, time.Duration(maxRetryShare*float64(left))), time.Millisecond)
}

// causeOverloaded is the cause of a refusal by admission control.
const causeOverloaded = "no response is expected within the latency budget"

// admit makes the admission decision once, before the first attempt. It admits a request that
// no backend is eligible for: the choice of a backend reports that.
func (x *try) admit(backends []fleet.Backend, world *eligibility.Snapshot) bool {
	if x.admitted {
		return true
	}
	x.admitted = true
	eligible := x.eligible(backends, world)
	x.spareCapacity = HasSpareCapacity(eligible)
	ask := AdmissionRequest{Left: x.endTime().Sub(world.Now), Target: x.route.Target, ServiceTime: x.forwarder.latencies.serviceTime(x.route.Name)}
	from := budgetKey{x.service, x.eligibilityRequest().Regions}
	budget := x.forwarder.rankBudgets.bound(from, x.request.Rank, ask.ServiceTime, x.forwarder.latencyBudget(ask), world.Now)
	admission := Admit(eligible, ask, budget, world.Now)
	if !admission.Refused {
		return true
	}
	x.cause, x.capacityDelay = causeOverloaded, admission.CapacityDelay
	return false
}

// eligible returns the backends that may get the request. Suspended ones are left out unless
// all are suspended.
func (x *try) eligible(backends []fleet.Backend, world *eligibility.Snapshot) []fleet.Backend {
	var eligible, suspended []fleet.Backend
	wants := x.eligibilityRequest()
	for i := range backends {
		switch {
		case !world.Eligible(&backends[i], wants):
		case backends[i].Suspended(world.Now):
			suspended = append(suspended, backends[i])
		default:
			eligible = append(eligible, backends[i])
		}
	}
	if len(eligible) == 0 {
		return suspended
	}
	return eligible
}

// estimateCapacityDelay returns the estimated time until there is capacity for a request that
// was not admitted or that backends refused. It is at least refusalPause, for which backends
// that refused are passed over.
func (x *try) estimateCapacityDelay(now time.Time) time.Duration {
	if x.capacityDelay > 0 {
		return x.capacityDelay
	}
	serviceTime := x.forwarder.latencies.serviceTime(x.route.Name)
	backends := x.forwarder.config.Fleet.Service(x.service, now)
	return max(EstimateWait(x.eligible(backends, x.forwarder.config.Gate.Snapshot(now)), serviceTime, now), refusalPause)
}

// capacityRetryDelay returns how long the caller of a refused request should wait before it
// retries.
func (x *try) capacityRetryDelay(now time.Time) time.Duration {
	return RetryDelay(x.estimateCapacityDelay(now), x.request.Deadline.Sub(now), rand.Float64())
}
