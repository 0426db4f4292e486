package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Seed is a node that may be a member: a name and its peer address.
type Seed struct {
	Name    string
	Address string
}

// Machine is one node's end of the protocol as a pure state machine: it reads
// no clock, sends nothing and holds no lock. Its owner calls Tick every 100 ms
// or so and Receive for each message, and sends what they return. Times passed
// in never go back.
type Machine struct {
	cfg    Config
	random *rand.Rand

	self       *entry
	leaving    bool
	superseded int64
	digest     int64

	// members holds all that are known, self included.
	members map[string]*entry
	// suspects and gone index members by state.
	suspects map[string]*entry
	gone     map[string]*entry
	seeds    map[string]string
	news     *newsQueue
	regions  map[string]*regionRecord
	census   *census

	version  uint64
	changes  []Change
	sequence uint64
	period   uint64
	probes   map[uint64]*probe
	relays   map[uint64]*relay
	// confirming names members to be probed at the next tick, out of turn.
	confirming []string
	// ownRound and crossRound are the members still to be probed in this round.
	ownRound, crossRound []string

	// resumedAt is when this process last went on after a pause. What went by
	// before counts neither against suspects nor against regions, whose word may
	// be waiting to be read.
	resumedAt                                  time.Time
	lastTick                                   time.Time
	nextProbe, nextGossip, nextSync, nextSeeds time.Time
}

// entry is what a Machine holds of a member.
type entry struct {
	Identity
	refutation int64
	state      State
	since      time.Time
	source     string
	heardAt    time.Time
	observers  []string
	digest     int64
}

func (e *entry) version() Version {
	return Version{Name: e.Name, Incarnation: e.Incarnation, Refutation: e.refutation}
}

func (e *entry) update() Update {
	return Update{Name: e.Name, Incarnation: e.Incarnation, Refutation: e.refutation, State: e.state, Observers: e.observers}
}

func (e *entry) updateWithIdentity() Update {
	update := e.update()
	identity := e.Identity
	update.Identity = &identity
	return update
}

// NewMachine returns the Machine of a node that has just started.
func NewMachine(cfg Config, self Identity, random *rand.Rand, now time.Time) *Machine {
	m := &Machine{
		cfg:      cfg,
		random:   random,
		self:     &entry{Identity: self, state: StateAlive, since: now, source: self.Name, heardAt: now},
		members:  map[string]*entry{},
		suspects: map[string]*entry{},
		gone:     map[string]*entry{},
		seeds:    map[string]string{},
		news:     newNewsQueue(),
		regions:  map[string]*regionRecord{},
		probes:   map[uint64]*probe{},
		relays:   map[uint64]*relay{},
		lastTick: now,
	}
	m.members[self.Name] = m.self
	// Random phases keep nodes that start together from acting in step.
	m.nextProbe = now.Add(m.jitter(cfg.Period))
	m.nextSync = now.Add(m.jitter(cfg.Period))
	m.nextSeeds = now
	m.nextGossip = now
	m.news.put(m.self.updateWithIdentity())
	return m
}

func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit) + 1))
}

// AddSeeds adds nodes to be looked for; a known name gets the new address.
func (m *Machine) AddSeeds(seeds ...Seed) {
	for _, seed := range seeds {
		if seed.Name != m.self.Name {
			m.seeds[seed.Name] = seed.Address
		}
	}
}

// SetDigest sets the value that heartbeats carry from now on.
func (m *Machine) SetDigest(digest int64) { m.digest = digest }

// Change tells that a member, or a region as a whole, changed its state.
type Change struct {
	// Member or Region is set. A region is StateAlive or StateUnreachable.
	Member      string
	Region      string
	Incarnation int64
	State       State
	Source      string
	Observers   []string
}

// TakeChanges returns the changes since the last call, oldest first.
func (m *Machine) TakeChanges() []Change {
	changes := m.changes
	m.changes = nil
	return changes
}

// elapsed is the time since then during which this process ran.
func (m *Machine) elapsed(now, since time.Time) time.Duration {
	if since.Before(m.resumedAt) {
		since = m.resumedAt
	}
	return now.Sub(since)
}

// Tick does what is due.
func (m *Machine) Tick(now time.Time) []Envelope {
	if now.Sub(m.lastTick) > m.cfg.pauseThreshold() {
		m.resumedAt = now
		m.forgetOpenProbes()
	}
	m.lastTick = now
	var out []Envelope
	out = append(out, m.advanceProbes(now)...)
	out = append(out, m.advanceRelays(now)...)
	m.judgeSuspects(now)
	m.judgeRegions(now)
	m.forgetGone(now)
	out = append(out, m.confirm(now)...)
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.cfg.Period)
		out = append(out, m.startProbes(now)...)
	}
	if !now.Before(m.nextSeeds) {
		m.nextSeeds = now.Add(m.seedInterval())
		out = append(out, m.contactSeed(now)...)
	}
	if !now.Before(m.nextSync) {
		m.nextSync = now.Add(m.syncInterval(now))
		out = append(out, m.startSync(now)...)
	}
	if !now.Before(m.nextGossip) {
		m.nextGossip = now.Add(m.cfg.GossipInterval)
		out = append(out, m.gossip(now)...)
	}
	return out
}

// Receive takes a message of the node named from. It returns the answers, and
// whether the message was meant for this node and came from a process that is
// not known to be replaced.
func (m *Machine) Receive(now time.Time, from string, payload Payload) ([]Envelope, bool) {
	heartbeat := payload.heartbeat()
	if heartbeat.To != m.self.Name || from == m.self.Name {
		return nil, false
	}
	sender := m.members[from]
	if sender != nil && heartbeat.Incarnation < sender.Incarnation {
		return nil, false
	}
	for _, update := range heartbeat.Updates {
		m.apply(now, from, update)
	}
	sender = m.members[from]
	if sender != nil && sender.Incarnation == heartbeat.Incarnation {
		m.hear(now, sender, heartbeat)
	}
	m.mergeHeard(now, heartbeat.Heard)
	return m.answer(now, from, payload), true
}

// hear notes that the member itself spoke.
func (m *Machine) hear(now time.Time, sender *entry, heartbeat Heartbeat) {
	sender.heardAt = now
	sender.digest = heartbeat.Digest
	m.hearRegion(now, sender.Region, now, m.self.Name)
	if heartbeat.Refutation > sender.refutation && sender.state != StateLeft {
		m.apply(now, sender.Name, Update{Name: sender.Name, Incarnation: sender.Incarnation, Refutation: heartbeat.Refutation, State: StateAlive})
	}
}

func (m *Machine) answer(now time.Time, from string, payload Payload) []Envelope {
	switch p := payload.(type) {
	case Ping:
		return m.onPing(now, from, p)
	case Ack:
		return m.onAck(now, from, p)
	case ProbeRequest:
		return m.onProbeRequest(now, from, p)
	case Nack:
		m.onNack(from, p)
	case Sync:
		return m.onSync(now, from, p)
	case Buckets:
		return m.onBuckets(now, from, p)
	case Entries:
		return m.onEntries(now, from, p)
	case Delta:
		return m.onDelta(now, from, p)
	}
	return nil
}

// Leave announces the planned stop of this node. Announced tells when enough
// members were told.
func (m *Machine) Leave(now time.Time) []Envelope {
	if m.leaving {
		return nil
	}
	m.leaving = true
	m.self.state = StateLeft
	m.self.since = now
	m.version++
	m.census = nil
	m.news.put(m.self.update())
	return m.gossip(now)
}

// Announced tells whether news of Leave was passed on as often as any news is,
// or there is nobody to tell.
func (m *Machine) Announced() bool {
	return m.leaving && (!m.news.has(m.self.Name) || len(m.liveNames()) == 0)
}

// seedInterval is long once any other member is known, for syncs tell of the
// others.
func (m *Machine) seedInterval() time.Duration {
	if len(m.liveNames()) == 0 {
		return m.cfg.SeedInterval
	}
	return m.cfg.SyncInterval/2 + m.jitter(m.cfg.SyncInterval/2)
}

// contactSeed compares views with one seed that is not an alive member: at the
// start, and to find nodes again that were forgotten in a long cut.
func (m *Machine) contactSeed(now time.Time) []Envelope {
	missing := m.missingSeeds()
	if len(missing) == 0 || m.leaving {
		return nil
	}
	name := missing[m.random.IntN(len(missing))]
	return []Envelope{{To: name, Address: m.seeds[name], Payload: Sync{Heartbeat: m.heartbeat(now, name), Hash: m.viewHash()}}}
}

func (m *Machine) missingSeeds() []string {
	var missing []string
	for name := range m.seeds {
		if member := m.members[name]; member == nil || member.state != StateAlive {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}

// Version grows with each change of a member's state.
func (m *Machine) Version() uint64 { return m.version }

// Snapshot returns the view as of now.
func (m *Machine) Snapshot(now time.Time) *Snapshot {
	snapshot := &Snapshot{At: now, Version: m.version, Self: m.self.Name, SupersededBy: m.superseded}
	m.self.heardAt = now
	m.self.digest = m.digest
	snapshot.Members = make([]Member, 0, len(m.members))
	for _, name := range slices.Sorted(maps.Keys(m.members)) {
		snapshot.Members = append(snapshot.Members, m.view(m.members[name]))
	}
	snapshot.Regions = m.regionViews(now, snapshot.Members)
	for _, name := range m.missingSeeds() {
		if m.members[name] == nil {
			snapshot.Unheard = append(snapshot.Unheard, name)
		}
	}
	return snapshot
}

// Member returns the view of one member.
func (m *Machine) Member(name string) (Member, bool) {
	e := m.members[name]
	if e == nil {
		return Member{}, false
	}
	return m.view(e), true
}

func (m *Machine) view(e *entry) Member {
	member := Member{Identity: e.Identity, State: e.state, Since: e.since, Source: e.source, HeardAt: e.heardAt, Observers: e.observers, Digest: e.digest}
	if !e.state.gone() && m.regionUnreached(e.Region) {
		member.State = StateUnreachable
		member.Since = m.regions[e.Region].unreachedSince
		member.Source = m.self.Name
	}
	return member
}
