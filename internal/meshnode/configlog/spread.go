package configlog

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
)

// OnPeerRevision is told the revision in a peer's heartbeat. A node that is
// behind pulls from the peer; a node that is ahead does nothing, because the
// peer hears of it in the same way.
func (s *Service) OnPeerRevision(_, address string, revision int64) {
	if s.wants(revision) {
		s.requestPull(address)
	}
}

// wants tells whether a peer at revision has something that this node lacks.
func (s *Service) wants(revision int64) bool {
	current := s.Current().Revision
	return revision > current || s.cfg.Faults.ApplyLowerRevisions && revision < current
}

func (s *Service) requestPull(address string) {
	select {
	case s.pulls <- address:
	default: // busy pulling: the next heartbeat asks again
	}
}

func (s *Service) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.pulls:
			if err := s.pull(ctx, address); err != nil {
				s.lg.WithError(err).WithField("peer", address).Debug("cannot pull the configuration")
			}
		}
	}
}

// pull brings this node to at least the peer's revision.
func (s *Service) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.PeerTimeout)
	defer cancel()
	request := PullRequest{After: s.Current().Revision}
	if s.cfg.Faults.ApplyLowerRevisions {
		request.After = 0
	}
	var response PullResponse
	if err := s.cfg.Peers.Call(ctx, address, KindPull, request, &response); err != nil {
		return err
	}
	base := s.log.Load()
	if s.cfg.Faults.ApplyLowerRevisions {
		base = NewLog()
	}
	log, err := response.applyTo(base)
	if err != nil {
		return err
	}
	s.learn(log)
	return nil
}

func (r PullResponse) applyTo(log *Log) (*Log, error) {
	if r.Snapshot != nil {
		replaced, err := LogFromSnapshot(*r.Snapshot)
		if err != nil {
			return nil, err
		}
		if replaced.Revision() > log.Revision() {
			return replaced, nil
		}
		return log, nil
	}
	return log.ExtendAll(r.Entries)
}

// push sends the newest entries to a few random members.
func (s *Service) push() {
	log := s.log.Load()
	message := PushMessage{Address: s.cfg.Address, Revision: log.Revision(), Entries: log.newest(pushEntries)}
	for _, member := range s.jitter.sample(s.cfg.Members.Alive(), s.cfg.Node, s.cfg.PushFanout) {
		s.cfg.Peers.Send(member.Address, KindPush, message)
	}
}

func (s *Service) handlePush(_ context.Context, _ string, body json.RawMessage) (any, error) {
	var message PushMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, errs.Wrap(err)
	}
	log, err := s.log.Load().ExtendAll(message.Entries)
	s.learn(log)
	if err != nil || s.wants(message.Revision) {
		s.requestPull(message.Address)
	}
	return nil, nil
}

func (s *Service) handlePull(_ context.Context, _ string, body json.RawMessage) (any, error) {
	var request PullRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errs.Wrap(err)
	}
	if request.After < 0 {
		return nil, api.Invalid("revision %d is negative", request.After)
	}
	log := s.log.Load()
	response := PullResponse{Revision: log.Revision()}
	entries, complete := log.EntriesAfter(request.After)
	if complete {
		response.Entries = entries
		return response, nil
	}
	snapshot := log.Snapshot()
	response.Snapshot = &snapshot
	return response, nil
}

func (s *Service) handleStatus(_ context.Context, _ string, body json.RawMessage) (any, error) {
	var request StatusRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errs.Wrap(err)
	}
	if s.wants(request.Revision) {
		s.requestPull(request.Address)
	}
	return s.status(), nil
}

func (s *Service) status() StatusResponse {
	return StatusResponse{Revision: s.Current().Revision, Ready: s.Ready(), Members: len(s.cfg.Members.Known())}
}

// statusAnswer is a member's answer to a StatusRequest, or why there is none.
type statusAnswer struct {
	member Member
	status StatusResponse
	err    error
}

// askStatus asks the members, peerConcurrency at a time, and hands each answer
// to take, one after the other.
func (s *Service) askStatus(ctx context.Context, members []Member, take func(statusAnswer)) {
	slots := make(chan struct{}, peerConcurrency)
	answers := make(chan statusAnswer)
	var asking sync.WaitGroup
	asking.Go(func() {
		for _, member := range members {
			slots <- struct{}{}
			asking.Go(func() {
				answers <- s.askMember(ctx, member)
				<-slots
			})
		}
	})
	for range members {
		take(<-answers)
	}
	asking.Wait()
}

func (s *Service) askMember(ctx context.Context, member Member) statusAnswer {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.PeerTimeout)
	defer cancel()
	answer := statusAnswer{member: member}
	request := StatusRequest{Address: s.cfg.Address, Revision: s.Current().Revision}
	answer.err = s.cfg.Peers.Call(ctx, member.Address, KindStatus, request, &answer.status)
	return answer
}

// catchUpWithPeers asks the other members for their revisions and pulls the
// highest. It tells whether a majority of the others, ready ones, answered and
// this node has reached the highest revision among them.
func (s *Service) catchUpWithPeers(ctx context.Context) bool {
	others := withoutSelf(s.cfg.Members.Known(), s.cfg.Node)
	var answers []statusAnswer
	s.askStatus(ctx, others, func(answer statusAnswer) {
		if answer.err == nil && answer.status.Ready {
			answers = append(answers, answer)
		}
	})
	highest, enough := startingRevision(len(others)+1, answers)
	if !enough {
		return false
	}
	if err := s.pull(ctx, highest.member.Address); err != nil {
		s.lg.WithError(err).WithField("peer", highest.member.Name).Debug("cannot pull the configuration at start")
	}
	return s.Current().Revision >= highest.status.Revision
}

// startingRevision returns the answer with the highest revision, and whether
// the answers are a majority of the other members. The count of members is the
// largest that this node or anyone who answered knows, because a node that just
// started may not have heard of all.
func startingRevision(known int, answers []statusAnswer) (statusAnswer, bool) {
	var highest statusAnswer
	for i, answer := range answers {
		known = max(known, answer.status.Members)
		if i == 0 || answer.status.Revision > highest.status.Revision {
			highest = answer
		}
	}
	others := known - 1
	return highest, len(answers) > 0 && len(answers) >= others/2+1
}
