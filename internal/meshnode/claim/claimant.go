package claim

import (
	"context"
	"net/http"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/peer"
)

// claimReserved runs the round of a reserved key.
func (s *Service) claimReserved(ctx context.Context, owner owner, now time.Time) (Result, error) {
	if err := s.config.checkKey(owner.key, now); err != nil {
		return Result{}, err
	}
	round, request, err := s.open(owner, now)
	if err != nil {
		return Result{}, err
	}
	decision := s.collect(ctx, round, request)
	if decision == DecisionWon {
		s.win(owner, round)
		return Result{Status: Granted}, nil
	}
	s.release(owner.key, request.Token, round.Members())
	if decision == DecisionLost {
		return Result{}, lostError(round)
	}
	s.withdraw(owner)
	return heldResult(round.Holder()), nil
}

func (s *Service) win(owner owner, round *Round) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.win(owner, round.token, round.Members())
}

func (s *Service) withdraw(owner owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.withdraw(owner)
}

// open prepares a round under a new token.
func (s *Service) open(owner owner, now time.Time) (*Round, Request, error) {
	view := s.source.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(view, now)
	if !s.views.Fresh(now) {
		return nil, Request{}, unavailable(retryAfterUnavailable, "the member list of this node is not confirmed")
	}
	s.sequence++
	token := Token{Claimant: s.config.Self, Incarnation: s.config.Incarnation, Sequence: s.sequence, RequestID: owner.requestID}
	round := NewRound(token, s.views.Groups(owner.key), now.Add(s.config.RoundTimeout))
	return round, Request{Key: owner.key, Token: token, Revision: s.views.Revision()}, nil
}

func (s *Service) observe(view View, now time.Time) {
	s.views.Observe(view, now)
	s.replica.SetRevision(s.views.Revision())
}

// answer is what came back from one member.
type answer struct {
	member string
	vote   Vote
	err    error
}

// collect asks all members and returns as soon as the round is decided. The
// members that were not needed are asked all the same, so that the grant
// outlives more restarts.
func (s *Service) collect(ctx context.Context, round *Round, request Request) Decision {
	ctx, cancel := context.WithDeadline(ctx, round.deadline)
	defer cancel()
	members := round.Members()
	answers := make(chan answer, len(members))
	for _, member := range members {
		s.background.begin(func() {
			asking, stop := context.WithDeadline(context.WithoutCancel(ctx), round.deadline)
			defer stop()
			vote, err := s.ask(asking, member, request)
			answers <- answer{member.Name, vote, err}
		})
	}
	for {
		decision := round.Decide(time.Now())
		if decision != DecisionPending {
			return decision
		}
		select {
		case got := <-answers:
			record(round, got)
		case <-ctx.Done():
			abandon(round, members)
		}
	}
}

func record(round *Round, got answer) {
	if got.err != nil {
		round.Fail(got.member)
		return
	}
	round.Vote(got.member, got.vote)
}

// abandon ends a round whose context has ended.
func abandon(round *Round, members []Member) {
	for _, member := range members {
		round.Fail(member.Name)
	}
}

func (s *Service) ask(ctx context.Context, member Member, request Request) (Vote, error) {
	if member.Name == s.config.Self {
		return s.vote(request), nil
	}
	var vote Vote
	err := s.send(ctx, member, KindRequest, request, &vote)
	return vote, err
}

// send calls a member and tries again while the context allows: every message
// of the protocol may arrive more than once.
func (s *Service) send(ctx context.Context, member Member, kind peer.Kind, body, response any) error {
	var err error
	for range attemptsPerMember {
		attempt, cancel := context.WithTimeout(ctx, s.config.RoundTimeout/attemptsPerMember)
		err = s.caller.Call(attempt, member.Address, kind, body, response)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// heldResult tells what is known of another request that holds the key.
func heldResult(vote Vote) Result {
	result := Result{Status: AlreadyClaimed, Outcome: api.OutcomeUnknown, HolderRequestID: vote.Holder.RequestID}
	if vote.Record == nil {
		return result
	}
	result.Outcome = vote.Record.Outcome
	result.Answer = vote.Record.Answer
	return result
}

func lostError(round *Round) error {
	if round.Contended() {
		return unavailable(retryAfterConflict, "another request with this key is being claimed")
	}
	return unavailable(retryAfterUnavailable, "no majority of the key's replicas answered")
}

func unavailable(retryAfter time.Duration, message string) error {
	return api.Refusal(http.StatusServiceUnavailable, api.CodeClaimUnavailable, retryAfter.Milliseconds(), "%s", message)
}
