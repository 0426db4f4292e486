package configlog

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// MissingReason says why a member has not confirmed a revision.
type MissingReason string

const (
	// MissingUnreachable means that the member gave no answer.
	MissingUnreachable MissingReason = "unreachable"
	// MissingBehind means that the member has a lower revision.
	MissingBehind MissingReason = "behind"
	// MissingNotReady means that the member has started and does not serve yet.
	MissingNotReady MissingReason = "not_ready"
)

// MissingMember is a member that has not confirmed a revision.
type MissingMember struct {
	Name   string        `json:"name"`
	Reason MissingReason `json:"reason"`
	// Revision is the revision that the member has, where it answered.
	Revision int64 `json:"revision,omitempty"`
}

// String describes the member for operators.
func (m MissingMember) String() string {
	if m.Reason == MissingUnreachable {
		return fmt.Sprintf("%s (%s)", m.Name, m.Reason)
	}
	return fmt.Sprintf("%s (%s at revision %d)", m.Name, m.Reason, m.Revision)
}

// ForceReport tells which members applied a revision, sorted by name.
type ForceReport struct {
	Revision  int64           `json:"revision"`
	Confirmed []string        `json:"confirmed"`
	Missing   []MissingMember `json:"missing,omitempty"`
	// AsOf is the moment, by this node's clock, at which every confirmation in
	// the report was true: the oldest of them.
	AsOf time.Time `json:"as_of"`
}

// Everywhere tells whether every known member has confirmed the revision.
func (r ForceReport) Everywhere() bool { return len(r.Missing) == 0 && len(r.Confirmed) > 0 }

// confirmation is a member's last word.
type confirmation struct {
	revision int64
	at       time.Time
}

// InForce asks every known member whether it applied the revision. A member
// that confirmed it within ConfirmationAge is not asked again, so a burst of
// questions costs one message to each member. A question and its answer are
// lines of 92 and 93 bytes, so 330 members cost 61 kB for each change, once.
func (s *Service) InForce(ctx context.Context, revision int64) ForceReport {
	report := ForceReport{Revision: revision, AsOf: time.Now()}
	askedAt := report.AsOf
	var asked []Member
	for _, member := range s.cfg.Members.Known() {
		at, recent := s.recentConfirmation(member.Name, revision, askedAt)
		switch {
		case member.Name == s.cfg.Node:
			report.add(member.Name, s.status(), revision)
		case recent:
			report.Confirmed = append(report.Confirmed, member.Name)
			report.AsOf = earlier(report.AsOf, at)
		default:
			asked = append(asked, member)
		}
	}
	s.askStatus(ctx, asked, func(answer statusAnswer) {
		if answer.err != nil {
			report.Missing = append(report.Missing, MissingMember{Name: answer.member.Name, Reason: MissingUnreachable})
			return
		}
		s.rememberConfirmation(answer, askedAt)
		report.add(answer.member.Name, answer.status, revision)
	})
	slices.Sort(report.Confirmed)
	slices.SortFunc(report.Missing, func(a, b MissingMember) int { return strings.Compare(a.Name, b.Name) })
	return report
}

func (r *ForceReport) add(name string, status StatusResponse, revision int64) {
	switch {
	case !status.Ready:
		r.Missing = append(r.Missing, MissingMember{Name: name, Reason: MissingNotReady, Revision: status.Revision})
	case status.Revision < revision:
		r.Missing = append(r.Missing, MissingMember{Name: name, Reason: MissingBehind, Revision: status.Revision})
	default:
		r.Confirmed = append(r.Confirmed, name)
	}
}

func (s *Service) recentConfirmation(name string, revision int64, now time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.confirmations[name]
	return last.at, ok && last.revision >= revision && now.Sub(last.at) < s.cfg.ConfirmationAge
}

func (s *Service) rememberConfirmation(answer statusAnswer, askedAt time.Time) {
	if !answer.status.Ready {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmations[answer.member.Name] = confirmation{revision: answer.status.Revision, at: askedAt}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
