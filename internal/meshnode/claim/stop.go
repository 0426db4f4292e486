package claim

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/meshnode/peer"
)

const (
	// maxHandedEntries bounds a hand-over, which is one message. A replica with
	// more does not hand over, and its successor abstains.
	maxHandedEntries = 20_000
	// recoverAttempts is how often a restarted node asks for what was handed
	// over, with registerRetryPause between.
	recoverAttempts = 5
)

// HandOver ends this node's voting and gives its registers to another member,
// for the next incarnation under this name. It is part of a planned stop. False
// means that the next incarnation will abstain for Config.Retention.
func (s *Service) HandOver(ctx context.Context) bool {
	entries, ok := s.seal()
	if !ok || len(entries) > maxHandedEntries {
		return false
	}
	for _, heir := range s.others() {
		var ticket TicketResponse
		request := TicketRequest{Name: s.config.Self, Incarnation: s.config.Incarnation}
		if err := s.send(ctx, heir, KindTicket, request, &ticket); err != nil {
			continue
		}
		// Only one heir may ever hold the registers, so no other one is tried
		// once they were sent.
		handOver := HandOver{Name: s.config.Self, Incarnation: s.config.Incarnation, Ticket: ticket.Ticket, Entries: entries}
		var response HandOverResponse
		err := s.send(ctx, heir, KindHandOver, handOver, &response)
		return err == nil && response.Accepted
	}
	return false
}

func (s *Service) seal() ([]HandedEntry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Seal(time.Now())
}

// others returns the other members of the current list, in an order that
// differs from node to node.
func (s *Service) others() []Member {
	var others []Member
	for _, member := range rank(s.config.Self, s.source.View().Members) {
		if member.Name != s.config.Self {
			others = append(others, member)
		}
	}
	return others
}

// recover asks the other members for what the incarnation before handed over,
// and tells whether one had it.
func (s *Service) recover(ctx context.Context) bool {
	request := RecoverRequest{Name: s.config.Self, Incarnation: s.config.Incarnation}
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		found bool
	)
	for _, member := range s.others() {
		group.Go(func() {
			var response RecoverResponse
			if err := s.send(ctx, member, KindRecover, request, &response); err != nil || !response.Found {
				return
			}
			s.withReplica(func(now time.Time) { s.replica.Adopt(response.Entries, now) })
			mu.Lock()
			defer mu.Unlock()
			found = true
		})
	}
	group.Wait()
	return found
}

func (s *Service) registerStop(registry peer.Registry) {
	handle(registry, KindTicket, func(request TicketRequest) any {
		ticket := uuid.NewString()
		s.withReplica(func(now time.Time) { s.heir.Ticket(request, ticket, now) })
		return TicketResponse{Ticket: ticket}
	})
	handle(registry, KindHandOver, func(handOver HandOver) any {
		var response HandOverResponse
		s.withReplica(func(now time.Time) { response.Accepted = s.heir.Accept(handOver, now) })
		return response
	})
	handle(registry, KindRecover, func(request RecoverRequest) any {
		var response RecoverResponse
		s.withReplica(func(now time.Time) { response.Entries, response.Found = s.heir.Recover(request, now) })
		return response
	})
}
