package claim

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/peer"
	"github.com/sliplift/sliplift/internal/pause"
)

// ViewSource tells the member list that is in force.
type ViewSource interface {
	View() View
}

// StaticView is a ViewSource whose list never changes.
type StaticView []Member

// View implements ViewSource.
func (s StaticView) View() View { return View{Members: s, ConfirmedAt: time.Now()} }

// Registrar proves that a node name never ran before.
type Registrar interface {
	FirstRun(ctx context.Context, name string) (bool, error)
}

// Status is what a Claim came to.
type Status int

const (
	// Granted means that the claimant may dispatch the request, once, and then
	// calls Complete.
	Granted Status = iota + 1
	// AlreadyClaimed means that another request with the key was or may have
	// been dispatched. The claimant must not dispatch.
	AlreadyClaimed
)

// Result is the answer to a claim that was not refused.
type Result struct {
	Status Status
	// Outcome of the request that holds the key: OutcomeUnknown where it has
	// not reported.
	Outcome api.Outcome
	// Answer of that request; nil where it is not known, or was too large to keep.
	Answer *api.LiveResponse
	// HolderRequestID is the id under which that request ran.
	HolderRequestID string
}

// Service claims keys for this node and serves its replica to others.
type Service struct {
	lg        logrus.FieldLogger
	config    Config
	caller    peer.Caller
	source    ViewSource
	registrar Registrar

	mu       sync.Mutex
	replica  *Replica
	heir     *Heir
	views    *Views
	sequence uint64
	local    *localClaims

	background background
}

// NewService returns a service whose handlers are registered. Run must be
// called for its replica to vote.
func NewService(lg logrus.FieldLogger, config Config, caller peer.Caller, registry peer.Registry, source ViewSource, registrar Registrar) *Service {
	config = config.withDefaults()
	replicaConfig := ReplicaConfig{
		Retention:      config.Retention(),
		MaxEntries:     config.MaxEntries,
		MaxAnswerBytes: config.MaxAnswerBytes,
		Faults:         config.Faults,
	}
	viewsConfig := ViewsConfig{
		GroupSize: config.GroupSize,
		Window:    config.Retention() + config.MaxViewAge,
		MaxAge:    config.MaxViewAge,
	}
	service := &Service{
		lg:        lg,
		config:    config,
		caller:    caller,
		source:    source,
		registrar: registrar,
		replica:   NewReplica(replicaConfig, time.Now()),
		heir:      NewHeir(config.Retention()),
		views:     NewViews(viewsConfig),
		local:     newLocalClaims(config.MaxEntries, config.Retention()),
	}
	service.register(registry)
	service.registerStop(registry)
	return service
}

// Run makes this node's replica fit to vote: it registers the node's name and
// takes back what the incarnation before handed over. It returns when nothing
// more can be done for that, or ctx ends.
func (s *Service) Run(ctx context.Context) {
	registered := false
	for attempt := 1; ; attempt++ {
		if s.recover(ctx) {
			s.lg.Info("claim replica recovered what was handed over")
			return
		}
		if !registered {
			firstRun, err := s.registrar.FirstRun(ctx, s.config.Self)
			registered = err == nil
			s.registered(firstRun, err)
			if firstRun {
				return
			}
		}
		if registered && attempt >= recoverAttempts {
			return
		}
		if !pause.For(ctx, registerRetryPause) {
			return
		}
	}
}

func (s *Service) registered(firstRun bool, err error) {
	if err != nil {
		s.lg.WithError(err).Warn("claim replica is not registered; it abstains")
		return
	}
	s.mu.Lock()
	s.replica.Registered(firstRun)
	s.mu.Unlock()
	s.lg.WithField("first_run", firstRun).Info("claim replica registered")
}

// Votes tells whether this node's replica may grant keys now.
func (s *Service) Votes() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Votes(time.Now())
}

// Close waits for the messages of claims that are over, at most RoundTimeout. Those of
// claims that end meanwhile may go on after it.
func (s *Service) Close() { s.background.wait() }

// Claim asks for the right to dispatch the request of a key. An error is an
// *api.Error with OutcomeRefused: nothing stands, and the request must not be
// dispatched. requestID names the request for whoever is told about its holder.
func (s *Service) Claim(ctx context.Context, key, requestID string) (Result, error) {
	owner := owner{key: key, requestID: requestID}
	now := time.Now()
	holder, err := s.reserve(owner, now)
	if err != nil {
		return Result{}, err
	}
	if holder != nil {
		return Result{Status: AlreadyClaimed, Outcome: api.OutcomeUnknown, HolderRequestID: holder.requestID}, nil
	}
	result, err := s.claimReserved(ctx, owner, now)
	if err != nil {
		s.fail(owner)
	}
	return result, err
}

// reserve makes the owner the only claimant of the key at this node, or returns
// who is.
func (s *Service) reserve(owner owner, now time.Time) (*owner, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.local.reserve(owner, now)
}

func (s *Service) fail(owner owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.fail(owner)
}

// Complete tells the replicas, in the background, how the request that was
// granted the key ended. OutcomeRefused says that it was never dispatched and
// never will be, which frees the key. Without a grant of the key to requestID
// it does nothing.
func (s *Service) Complete(key, requestID string, outcome api.Outcome, answer *api.LiveResponse) {
	claim, ok := s.complete(owner{key: key, requestID: requestID}, outcome)
	if !ok {
		return
	}
	if outcome == api.OutcomeRefused {
		s.release(key, claim.token, claim.members)
		return
	}
	complete := Complete{Key: key, Token: claim.token, Record: newRecord(outcome, answer)}
	s.tellAll(claim.members, KindComplete, complete, func(now time.Time) { s.replica.Complete(complete, now) })
}

func (s *Service) complete(owner owner, outcome api.Outcome) (localClaim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.local.complete(owner, outcome)
}

// newRecord leaves out an answer that is too large to keep.
func newRecord(outcome api.Outcome, answer *api.LiveResponse) Record {
	record := Record{Outcome: outcome, Answer: answer}
	if record.size() > maxAnswer {
		record.Answer = nil
	}
	return record
}

// release gives a token back everywhere, in the background. The caller must
// never dispatch under it.
func (s *Service) release(key string, token Token, members []Member) {
	release := Release{Key: key, Token: token}
	s.tellAll(members, KindRelease, release, func(now time.Time) { s.replica.Release(release, now) })
}

// tellAll sends body to the members; local does the same at this node.
func (s *Service) tellAll(members []Member, kind peer.Kind, body any, local func(now time.Time)) {
	for _, member := range members {
		if member.Name == s.config.Self {
			s.withReplica(local)
			continue
		}
		s.background.begin(func() {
			ctx, cancel := context.WithTimeout(context.Background(), s.config.RoundTimeout)
			defer cancel()
			if err := s.send(ctx, member, kind, body, &Acknowledgement{}); err != nil {
				s.lg.WithError(err).WithField("member", member.Name).Debug("claim message lost")
			}
		})
	}
}

func (s *Service) withReplica(act func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	act(time.Now())
}

func (s *Service) register(registry peer.Registry) {
	handle(registry, KindRequest, func(request Request) any {
		return s.vote(request)
	})
	handle(registry, KindRelease, func(release Release) any {
		s.withReplica(func(now time.Time) { s.replica.Release(release, now) })
		return Acknowledgement{}
	})
	handle(registry, KindComplete, func(complete Complete) any {
		s.withReplica(func(now time.Time) { s.replica.Complete(complete, now) })
		return Acknowledgement{}
	})
}

// vote asks this node's replica.
func (s *Service) vote(request Request) Vote {
	view := s.source.View()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(view, now)
	if !s.views.Fresh(now) {
		return Vote{Kind: VoteAbstain}
	}
	return s.replica.Claim(request, now)
}
