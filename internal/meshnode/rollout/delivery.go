package rollout

import (
	"math"
	"net/http"
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// unboundedLimit stands for a pull without a limit.
const unboundedLimit = math.MaxInt

type voidState int

const (
	// voidNone means that the position holds its sample.
	voidNone voidState = iota
	// voidWanted means that the next proposal shall void the position.
	voidWanted
	// voidProposed means that the proposal in flight voids it.
	voidProposed
	// voidCommitted means that pulls skip it.
	voidCommitted
)

type position struct {
	index int
	// body is nil once the sample is void or acknowledged.
	body *api.Sample
	// offered says that an answer to a pull may have held the sample.
	offered bool
	void    voidState
}

type manifestSpan struct {
	object     string
	first, end int64
}

// delivery is the part of a Ledger that places finished samples and hands them
// out.
type delivery struct {
	// positions holds those from base on.
	base      int64
	positions []position
	// committed is the number of positions that are in a committed manifest.
	committed int64
	// cursor is the highest acknowledged cursor, committedCursor the one in the
	// row.
	cursor          int64
	committedCursor int64
	// handedOut is the highest position that an answer to a pull reached.
	handedOut   int64
	voidsWanted int
	manifests   []manifestSpan
	lastObject  int
	inFlight    *Proposal
}

// next returns the position that the next sample gets.
func (d *delivery) next() int64 { return d.base + int64(len(d.positions)) }

func (d *delivery) at(number int64) *position { return &d.positions[number-d.base] }

// committing returns how many positions await their commit.
func (d *delivery) committing() int { return int(d.next() - d.committed) }

// Proposal is a change to commit: the object first, if it has samples, then
// the progress in the row.
type Proposal struct {
	// Object names the object for Samples; empty if there are none.
	Object   string
	Samples  []api.Sample
	Progress Progress
	// Obsolete names the objects that nothing needs once this is committed.
	Obsolete []string
}

// Pending tells whether Propose has anything to propose besides a renewal.
func (l *Ledger) Pending() bool {
	d := &l.delivery
	return d.inFlight == nil && (l.finished > 0 || d.voidsWanted > 0 || d.cursor > d.committedCursor)
}

// Left tells whether something is to be committed that is not in the proposal
// in flight.
func (l *Ledger) Left() bool { return l.finished > 0 || l.delivery.voidsWanted > 0 }

// Propose gathers what changed into a Proposal, an empty one where nothing did.
// Commit must be called for it before the next, with the proposal unchanged
// however often it is tried; where it turns out that the row has another owner,
// the ledger is of no further use.
func (l *Ledger) Propose(now time.Time) Proposal {
	d := &l.delivery
	if d.inFlight != nil {
		panic("rollout: a proposal is in flight already")
	}
	l.dropFinished(now)
	proposal := Proposal{}
	l.proposeObsolete(&proposal)
	l.place(&proposal)
	l.proposeVoids()
	proposal.Progress = l.progress()
	d.inFlight = &proposal
	return proposal
}

// proposeObsolete leaves out the manifests that are wholly acknowledged.
func (l *Ledger) proposeObsolete(proposal *Proposal) {
	d := &l.delivery
	for len(d.manifests) > 0 && (d.manifests[0].end <= d.cursor || l.Done()) {
		proposal.Obsolete = append(proposal.Obsolete, d.manifests[0].object)
		d.manifests = d.manifests[1:]
	}
}

// place gives positions to finished samples in order of their indexes.
func (l *Ledger) place(proposal *Proposal) {
	if l.finished == 0 {
		return
	}
	d := &l.delivery
	d.lastObject++
	proposal.Object = objectName(l.config.Epoch, d.lastObject)
	first := d.next()
	for index := range l.samples {
		entry := &l.samples[index]
		if entry.state != sampleFinished {
			continue
		}
		if len(proposal.Samples) == l.config.BatchLimit {
			break
		}
		proposal.Samples = append(proposal.Samples, *entry.body)
		d.positions = append(d.positions, position{index: index, body: entry.body})
		entry.state = samplePlaced
		entry.body = nil
		l.finished--
	}
	d.manifests = append(d.manifests, manifestSpan{object: proposal.Object, first: first, end: d.next()})
}

func (l *Ledger) proposeVoids() {
	d := &l.delivery
	for offset := range d.positions {
		if d.positions[offset].void == voidWanted {
			d.positions[offset].void = voidProposed
		}
	}
	d.voidsWanted = 0
}

// progress describes the state that the row has once everything in flight is
// committed.
func (l *Ledger) progress() Progress {
	d := &l.delivery
	progress := Progress{Version: l.version, Cursor: d.cursor, Committed: d.next(), LastObject: d.lastObject}
	if l.Done() {
		progress.Done = true
		return progress
	}
	if l.unacknowledged < l.config.Samples {
		progress.Acknowledged = newBitmap(l.config.Samples)
	}
	for index := range l.samples {
		if l.samples[index].state == sampleAcknowledged {
			progress.Acknowledged.Set(index)
		}
	}
	for _, span := range d.manifests {
		progress.Manifests = append(progress.Manifests, d.manifest(span))
	}
	return progress
}

func (d *delivery) manifest(span manifestSpan) Manifest {
	manifest := Manifest{Object: span.object, First: span.first}
	for number := span.first; number < span.end; number++ {
		place := d.at(number)
		manifest.Indexes = append(manifest.Indexes, place.index)
		if place.void != voidNone {
			manifest.Voids = append(manifest.Voids, number)
		}
	}
	return manifest
}

// Commit tells that the proposal in flight is in the row.
func (l *Ledger) Commit(now time.Time) {
	d := &l.delivery
	progress := d.inFlight.Progress
	d.inFlight = nil
	d.committed = progress.Committed
	d.committedCursor = progress.Cursor
	for offset := range d.positions {
		if d.positions[offset].void == voidProposed {
			d.positions[offset].void = voidCommitted
		}
	}
	d.trim()
	l.voidNeverOffered(now)
}

// trim forgets the positions of manifests that the row names no more.
func (d *delivery) trim() {
	first := d.committed
	if len(d.manifests) > 0 {
		first = d.manifests[0].first
	}
	if first > d.base {
		d.positions = append([]position(nil), d.positions[first-d.base:]...)
		d.base = first
	}
}

// HandOut is the answer of a Ledger to a pull.
type HandOut struct {
	Samples    []api.Sample
	NextCursor int64
	Done       bool
}

// HandOut returns the committed samples from the cursor on, at most limit of
// them (zero: no limit), for a trainer that has taken all below the cursor and
// has the version. An empty answer that is not Done means that the trainer must
// wait.
func (l *Ledger) HandOut(cursor, version int64, limit int, now time.Time) (HandOut, *api.Error) {
	d := &l.delivery
	visible := d.committed
	if l.config.Faults.HandOutBeforeCommit {
		visible = d.next()
	}
	if l.Done() {
		return HandOut{NextCursor: max(cursor, visible), Done: true}, nil
	}
	if cursor < d.cursor || cursor > visible {
		return HandOut{}, cursorError(cursor, d.cursor, visible)
	}
	l.voidTooOld(cursor, version, now)
	l.SetVersion(version, now)
	if limit <= 0 {
		limit = unboundedLimit
	}
	answer := HandOut{NextCursor: cursor}
	for answer.NextCursor < visible && len(answer.Samples) < limit {
		place := d.at(answer.NextCursor)
		if place.void == voidWanted || place.void == voidProposed {
			break
		}
		if place.void == voidNone && place.body != nil {
			place.offered = true
			answer.Samples = append(answer.Samples, *place.body)
		}
		answer.NextCursor++
	}
	answer.Done = l.allPlacedBelow(answer.NextCursor)
	d.handedOut = max(d.handedOut, answer.NextCursor)
	return answer, nil
}

// HandedOut returns the position that the furthest answer to a pull reached.
func (l *Ledger) HandedOut() int64 { return max(l.delivery.handedOut, l.delivery.cursor) }

// allPlacedBelow tells whether every index has its sample below the cursor.
func (l *Ledger) allPlacedBelow(cursor int64) bool {
	d := &l.delivery
	left := l.unacknowledged
	for number := max(d.base, d.cursor); number < min(cursor, d.next()); number++ {
		if d.at(number).void == voidNone {
			left--
		}
	}
	return left == 0
}

// voidTooOld voids positions on the word of a pull: from its cursor on nothing
// is taken, and with its version nothing too old for it will be. A pull that
// was delayed on its way names a version no higher than the one under which the
// trainer took the samples since, so it voids none of them.
func (l *Ledger) voidTooOld(cursor, version int64, now time.Time) {
	d := &l.delivery
	for number := cursor; number < d.committed; number++ {
		l.voidAt(number, version, now)
	}
}

// voidNeverOffered voids positions of which no pull has heard and that are too
// old for the trainer's version.
func (l *Ledger) voidNeverOffered(now time.Time) {
	d := &l.delivery
	for number := d.base; number < d.committed; number++ {
		if !d.at(number).offered {
			l.voidAt(number, l.version, now)
		}
	}
}

func (l *Ledger) voidAt(number, version int64, now time.Time) {
	place := l.delivery.at(number)
	if place.void != voidNone || place.body == nil {
		return
	}
	oldest, _ := place.body.OldestVersion()
	if !l.tooOld(oldest, version) {
		return
	}
	place.void = voidWanted
	place.body = nil
	l.delivery.voidsWanted++
	l.rerun(place.index, now)
}

// Acknowledge tells that the trainer has all samples below the cursor safe.
func (l *Ledger) Acknowledge(cursor int64) *api.Error {
	d := &l.delivery
	if cursor <= d.cursor {
		return nil
	}
	if cursor > d.committed && !l.config.Faults.HandOutBeforeCommit || cursor > d.next() {
		return cursorError(cursor, d.cursor, d.committed)
	}
	for number := d.cursor; number < cursor; number++ {
		if place := d.at(number); place.void == voidNone && !place.offered || place.void == voidWanted || place.void == voidProposed {
			return cursorError(cursor, d.cursor, number)
		}
	}
	for number := d.cursor; number < cursor; number++ {
		place := d.at(number)
		if place.void != voidNone {
			continue
		}
		place.body = nil
		l.samples[place.index].state = sampleAcknowledged
		l.unacknowledged--
	}
	d.cursor = cursor
	return nil
}

// Cursor returns the acknowledged cursor, and whether the row has it.
func (l *Ledger) Cursor() (cursor int64, durable bool) {
	return l.delivery.cursor, l.delivery.cursor == l.delivery.committedCursor
}

func cursorError(cursor, low, high int64) *api.Error {
	return api.Refusal(http.StatusBadRequest, api.CodeCursorOutOfRange, 0, "cursor %d: must be from %d to %d", cursor, low, high)
}
