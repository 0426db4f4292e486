package claim

import (
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// owner names a request at this node that claims a key.
type owner struct {
	key       string
	requestID string
}

// localClaim is a claim that this node works on, or that was granted to it and
// has not completed.
type localClaim struct {
	requestID string
	granted   bool
	token     Token
	members   []Member
	expires   time.Time
}

// localClaims lets one request at a time claim a key at this node. So the pair
// of key and request id names at most one grant, and Complete cannot touch the
// grant of another request that happens to carry the same ids.
type localClaims struct {
	limit     int
	retention time.Duration
	claims    map[string]localClaim
	// failures counts claims of an owner that ended in an error. A caller of
	// Claim may answer an error with Complete and OutcomeRefused, to be on the
	// safe side, and that may come after the same request has tried again and
	// was granted the key. So as many such calls are ignored.
	failures map[owner]failure
}

type failure struct {
	count   int
	expires time.Time
}

func newLocalClaims(limit int, retention time.Duration) *localClaims {
	return &localClaims{
		limit:     limit,
		retention: retention,
		claims:    make(map[string]localClaim),
		failures:  make(map[owner]failure),
	}
}

// reserve enters a claim of the owner, or returns who else claims the key.
func (l *localClaims) reserve(by owner, now time.Time) (*owner, error) {
	current, ok := l.claims[by.key]
	if ok && now.Before(current.expires) {
		return &owner{key: by.key, requestID: current.requestID}, nil
	}
	if len(l.claims)+len(l.failures) >= l.limit {
		l.forget(now)
	}
	if len(l.claims)+len(l.failures) >= l.limit {
		return nil, unavailable(retryAfterUnavailable, "too many open claims at this node")
	}
	l.claims[by.key] = localClaim{requestID: by.requestID, expires: now.Add(l.retention)}
	return nil, nil
}

// withdraw ends a claim that was not granted.
func (l *localClaims) withdraw(by owner) { delete(l.claims, by.key) }

// fail ends a claim that was answered with an error.
func (l *localClaims) fail(by owner) {
	current, ok := l.claims[by.key]
	if !ok {
		return
	}
	delete(l.claims, by.key)
	l.failures[by] = failure{count: l.failures[by].count + 1, expires: current.expires}
}

// win notes the grant of a claim.
func (l *localClaims) win(by owner, token Token, members []Member) {
	current := l.claims[by.key]
	current.granted = true
	current.token = token
	current.members = members
	l.claims[by.key] = current
}

// complete ends a claim that was granted and returns it.
func (l *localClaims) complete(by owner, outcome api.Outcome) (localClaim, bool) {
	if outcome == api.OutcomeRefused && l.forgive(by) {
		return localClaim{}, false
	}
	current, ok := l.claims[by.key]
	if !ok || !current.granted || current.requestID != by.requestID {
		return localClaim{}, false
	}
	delete(l.claims, by.key)
	return current, true
}

// forgive takes one failed claim off the count of the owner.
func (l *localClaims) forgive(by owner) bool {
	failed, ok := l.failures[by]
	if !ok {
		return false
	}
	failed.count--
	if failed.count == 0 {
		delete(l.failures, by)
		return true
	}
	l.failures[by] = failed
	return true
}

func (l *localClaims) forget(now time.Time) {
	for key, claim := range l.claims {
		if !now.Before(claim.expires) {
			delete(l.claims, key)
		}
	}
	for by, failed := range l.failures {
		if !now.Before(failed.expires) {
			delete(l.failures, by)
		}
	}
}
