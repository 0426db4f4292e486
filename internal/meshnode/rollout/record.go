package rollout

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/sliplift/sliplift/internal/api"
)

// recordPrefix starts the keys of all rows and objects of steps.
const recordPrefix = "steps/"

// rowKey returns the key of a step's row in the table service.
func rowKey(trainer string, step int64) string {
	return recordPrefix + trainer + "/" + strconv.FormatInt(step, 10)
}

// objectKey returns the key of an object of a step in the object store.
func objectKey(trainer string, step int64, name string) string {
	return rowKey(trainer, step) + "/" + name
}

// StepRecord is the durable state of a step: the JSON value of its row. It
// names no text and no score; those are in the objects that it refers to.
type StepRecord struct {
	// Owner is the node that runs the step; empty if it was handed over.
	Owner        string `json:"owner"`
	OwnerAddress string `json:"owner_address"`
	// Epoch grows with every new owner.
	Epoch int64 `json:"epoch"`
	// LeaseMS is how long the row must have been unchanged before another node
	// may take over.
	LeaseMS int64 `json:"lease_ms"`
	// Transaction is the id of the transaction that wrote the row last.
	Transaction string `json:"transaction"`
	// Spec names the object that holds the api.StepRequest, SpecHash is the
	// SHA-256 of its JSON in hex.
	Spec     string `json:"spec"`
	SpecHash string `json:"spec_hash"`
	Pool     string `json:"pool"`
	Samples  int    `json:"samples"`
	Progress
}

// Progress is the part of a StepRecord that the Ledger determines.
type Progress struct {
	// Version is the trainer's highest version that the owner knew.
	Version int64 `json:"version"`
	// Cursor is the trainer's acknowledgement: it has all positions below.
	Cursor int64 `json:"cursor"`
	// Committed is the number of positions given out so far.
	Committed int64 `json:"committed"`
	// LastObject is the number of the owner's last object that was committed; a
	// former owner that died may have left the next one.
	LastObject int `json:"last_object,omitempty"`
	// Acknowledged is the set of indexes that the trainer has.
	Acknowledged Bitmap `json:"acknowledged,omitempty"`
	// Manifests are those that hold positions not yet acknowledged, in order of
	// position and without gaps.
	Manifests []Manifest `json:"manifests,omitempty"`
	// Done says that all indexes are acknowledged; nothing else is kept then.
	Done bool `json:"done,omitempty"`
}

// objectName returns the name of an object that holds samples.
func objectName(epoch int64, number int) string { return fmt.Sprintf("%d-%d", epoch, number) }

// Manifest gives consecutive positions to samples. The samples' bodies, with
// their attempt numbers, are in the object in the same order; an object is
// written once and its name never used again, so the manifest need not repeat
// them.
type Manifest struct {
	// Object is the name of the object, "<epoch>-<number>".
	Object string `json:"object"`
	// First is the position of the first sample.
	First int64 `json:"first"`
	// Indexes are the samples' indexes, ascending.
	Indexes IndexList `json:"indexes"`
	// Voids are positions to skip, ascending.
	Voids []int64 `json:"voids,omitempty"`
}

// Count returns the number of positions.
func (m Manifest) Count() int { return len(m.Indexes) }

// end returns the position after the last one.
func (m Manifest) end() int64 { return m.First + int64(len(m.Indexes)) }

// Bitmap is a set of sample indexes, one bit each, lowest bit first. It is a
// base64 string in JSON: 1,366 characters for 8,192 samples.
type Bitmap []byte

// newBitmap returns an empty set for the indexes in [0, size).
func newBitmap(size int) Bitmap { return make(Bitmap, (size+7)/8) }

// Set adds an index.
func (b Bitmap) Set(index int) { b[index/8] |= 1 << (index % 8) }

// Has tells whether the set holds the index.
func (b Bitmap) Has(index int) bool {
	return index/8 < len(b) && b[index/8]&(1<<(index%8)) != 0
}

// IndexList is an ascending list of sample indexes, written as a string of
// ranges such as "0-5,9,12-40".
type IndexList []int

// String returns the list as ranges.
func (l IndexList) String() string {
	var text strings.Builder
	for start := 0; start < len(l); {
		end := start
		for end+1 < len(l) && l[end+1] == l[end]+1 {
			end++
		}
		if start > 0 {
			text.WriteByte(',')
		}
		text.WriteString(strconv.Itoa(l[start]))
		if end > start {
			text.WriteString("-" + strconv.Itoa(l[end]))
		}
		start = end + 1
	}
	return text.String()
}

// MarshalJSON implements json.Marshaler.
func (l IndexList) MarshalJSON() ([]byte, error) { return json.Marshal(l.String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (l *IndexList) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*l = nil
	if text == "" {
		return nil
	}
	for part := range strings.SplitSeq(text, ",") {
		first, last, ranged := strings.Cut(part, "-")
		if !ranged {
			last = first
		}
		from, err := strconv.Atoi(first)
		if err != nil {
			return fmt.Errorf("index list: %w", err)
		}
		to, err := strconv.Atoi(last)
		if err != nil {
			return fmt.Errorf("index list: %w", err)
		}
		for index := from; index <= to; index++ {
			*l = append(*l, index)
		}
	}
	return nil
}

// RestoreLedger returns the ledger of a new owner from the progress of the
// former one and from the samples in the objects of its manifests, by object
// name. Every committed position counts as handed out.
func RestoreLedger(config LedgerConfig, progress Progress, objects map[string][]api.Sample) (*Ledger, error) {
	ledger := NewLedger(config)
	ledger.version = progress.Version
	for index := range ledger.samples {
		if progress.Done || progress.Acknowledged.Has(index) {
			ledger.samples[index].state = sampleAcknowledged
			ledger.waiting--
			ledger.unacknowledged--
		}
	}
	d := &ledger.delivery
	d.cursor, d.committedCursor = progress.Cursor, progress.Cursor
	d.base, d.committed = progress.Committed, progress.Committed
	if len(progress.Manifests) > 0 {
		d.base = progress.Manifests[0].First
	}
	for _, manifest := range progress.Manifests {
		if err := ledger.restoreManifest(manifest, objects[manifest.Object]); err != nil {
			return nil, err
		}
	}
	if d.next() != progress.Committed {
		return nil, fmt.Errorf("rollout: manifests end at position %d, not %d", d.next(), progress.Committed)
	}
	return ledger, nil
}

func (l *Ledger) restoreManifest(manifest Manifest, bodies []api.Sample) error {
	d := &l.delivery
	if manifest.First != d.next() || len(bodies) != manifest.Count() {
		return fmt.Errorf("rollout: manifest %s holds %d samples from position %d, not %d from %d",
			manifest.Object, len(bodies), d.next(), manifest.Count(), manifest.First)
	}
	voids := make(map[int64]bool, len(manifest.Voids))
	for _, number := range manifest.Voids {
		voids[number] = true
	}
	for offset, index := range manifest.Indexes {
		number := manifest.First + int64(offset)
		if bodies[offset].Index != index || index >= len(l.samples) {
			return fmt.Errorf("rollout: object %s holds index %d in place of %d", manifest.Object, bodies[offset].Index, index)
		}
		place := position{index: index, offered: true}
		switch {
		case voids[number]:
			place.void = voidCommitted
		case number >= d.committedCursor:
			place.body = &bodies[offset]
			l.samples[index].state = samplePlaced
			l.waiting--
		}
		d.positions = append(d.positions, place)
	}
	d.manifests = append(d.manifests, manifestSpan{object: manifest.Object, first: manifest.First, end: manifest.end()})
	return nil
}
