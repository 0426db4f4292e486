package claim

import "time"

// Faults switch off parts of the mechanism, so that proofs can be seen to
// fail. They are for tests only.
type Faults struct {
	// GrantAlways makes a replica grant every key to every token.
	GrantAlways bool
	// RestartedVotes makes a replica vote at once after it has lost its memory.
	RestartedVotes bool
}

// ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	// Retention is how long a grant is kept: the validity of a key plus the
	// length of a round.
	Retention time.Duration
	// MaxEntries bounds grants and tombstones together.
	MaxEntries int
	// MaxAnswerBytes bounds the answers that are kept, all together.
	MaxAnswerBytes int
	Faults         Faults
}

// Replica is one node's share of the registers. It is a state machine without
// I/O; callers serialise its use and pass in the time.
type Replica struct {
	config      ReplicaConfig
	startedAt   time.Time
	registered  bool
	firstRun    bool
	recovered   bool
	sealed      bool
	revision    int64
	entries     map[string]*entry
	tombstones  map[Token]time.Time
	expiries    []expiry
	answerBytes int
}

// entry is one register that has been written.
type entry struct {
	holder  Token
	record  *Record
	expires time.Time
}

// expiry says when to look at a key, or at a tombstone. The queue is in time
// order because everything is kept for the same time.
type expiry struct {
	at        time.Time
	tombstone bool
	key       string
	token     Token
}

// NewReplica returns a replica that knows nothing and abstains.
func NewReplica(config ReplicaConfig, startedAt time.Time) *Replica {
	return &Replica{
		config:     config,
		startedAt:  startedAt,
		entries:    make(map[string]*entry),
		tombstones: make(map[Token]time.Time),
	}
}

// Registered says that the row of this node's name exists, and whether this
// incarnation was the one that created it.
func (r *Replica) Registered(firstRun bool) {
	r.registered = true
	r.firstRun = firstRun
}

// SetRevision says which member list is in force. It never goes back.
func (r *Replica) SetRevision(revision int64) { r.revision = max(r.revision, revision) }

// Votes tells whether the replica may grant keys.
func (r *Replica) Votes(now time.Time) bool {
	if r.sealed {
		return false
	}
	if r.config.Faults.RestartedVotes {
		return true
	}
	if r.recovered {
		return true
	}
	remembersAll := r.firstRun || !now.Before(r.startedAt.Add(r.config.Retention))
	return r.registered && remembersAll
}

// Len returns the number of grants and tombstones.
func (r *Replica) Len() int { return len(r.entries) + len(r.tombstones) }

// Claim answers a claimant. A register that is known to be written is told even
// by a replica that abstains, since that can only stop a claimant.
func (r *Replica) Claim(request Request, now time.Time) Vote {
	r.expire(now)
	if r.config.Faults.GrantAlways {
		return Vote{Kind: VoteGranted}
	}
	if held, ok := r.entries[request.Key]; ok {
		return held.vote(request.Token)
	}
	if _, released := r.tombstones[request.Token]; released {
		return Vote{Kind: VoteReleased}
	}
	if !r.Votes(now) {
		return Vote{Kind: VoteAbstain}
	}
	if request.Revision < r.revision {
		return Vote{Kind: VoteStale}
	}
	if len(r.expiries) >= r.config.MaxEntries {
		return Vote{Kind: VoteFull}
	}
	r.write(request.Key, request.Token, now)
	return Vote{Kind: VoteGranted}
}

// Release takes a token back and keeps it from being granted again. Without
// room for a tombstone, a late grant to the token may burn the key, which is
// safe.
func (r *Replica) Release(release Release, now time.Time) {
	r.expire(now)
	if held, ok := r.entries[release.Key]; ok && held.holder == release.Token {
		r.erase(release.Key, held)
	}
	if len(r.expiries) >= r.config.MaxEntries {
		return
	}
	expires := now.Add(r.config.Retention)
	r.tombstones[release.Token] = expires
	r.expiries = append(r.expiries, expiry{at: expires, tombstone: true, token: release.Token})
}

// Complete records an outcome. The token that completes has won, so it takes
// the register also where this replica had missed the claim, or had granted the
// key to a token that cannot win any more.
func (r *Replica) Complete(complete Complete, now time.Time) {
	r.expire(now)
	held, ok := r.entries[complete.Key]
	if ok && held.record != nil {
		return
	}
	if !ok {
		held = r.write(complete.Key, complete.Token, now)
	}
	held.holder = complete.Token
	held.record = r.keep(complete.Record)
}

// keep returns the record as it is stored, without its answer where there is no
// room for it.
func (r *Replica) keep(record Record) *Record {
	if r.answerBytes+record.size() > r.config.MaxAnswerBytes {
		return &Record{Outcome: record.Outcome}
	}
	r.answerBytes += record.size()
	return &record
}

func (r *Replica) write(key string, token Token, now time.Time) *entry {
	written := &entry{holder: token, expires: now.Add(r.config.Retention)}
	r.entries[key] = written
	r.expiries = append(r.expiries, expiry{at: written.expires, key: key})
	return written
}

func (r *Replica) erase(key string, held *entry) {
	if held.record != nil {
		r.answerBytes -= held.record.size()
	}
	delete(r.entries, key)
}

// expire forgets what is older than Retention.
func (r *Replica) expire(now time.Time) {
	for len(r.expiries) > 0 && !now.Before(r.expiries[0].at) {
		r.expireOne(r.expiries[0], now)
		r.expiries = r.expiries[1:]
	}
}

func (r *Replica) expireOne(due expiry, now time.Time) {
	if due.tombstone {
		delete(r.tombstones, due.token)
		return
	}
	// The register may have been released and written again since.
	held, ok := r.entries[due.key]
	if ok && !now.Before(held.expires) {
		r.erase(due.key, held)
	}
}

func (e *entry) vote(asking Token) Vote {
	if e.holder == asking && e.record == nil {
		return Vote{Kind: VoteGranted}
	}
	return Vote{Kind: VoteHeld, Holder: e.holder, Record: e.record}
}
