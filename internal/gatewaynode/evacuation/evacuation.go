// Package evacuation is what a node believes of evacuations: zones whose back ends are
// to get nothing more until the operator takes that away.
//
// The operator's rows decide. A zone stays evacuated from the first row that was seen
// until its removal was seen, whatever becomes of the store between: a node that is cut
// off goes on with what it knows. Who begins to send must have read the rows once.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Evacuation is one zone's.
type Evacuation struct {
	Zone string
	// Since is when this node first saw it, by its steady clock.
	Since time.Time
	// Revision is the store's revision of the row.
	Revision int64
}

// Set is the evacuations in force at one moment, by zone. It must not be changed.
type Set map[string]Evacuation

// Has tells whether a zone is evacuated.
func (s Set) Has(zone string) bool {
	_, found := s[zone]
	return found
}

// Zones returns the zones, ordered.
func (s Set) Zones() []string { return slices.Sorted(maps.Keys(s)) }

// Change is what an update did.
type Change struct {
	// Begun and Ended are the zones whose evacuation began and ended.
	Begun, Ended []Evacuation
}

// Book holds the evacuations. It is safe for concurrent use.
type Book struct {
	mu    sync.Mutex
	zones Set
	// seen is the newest revision of each zone's row, also once it is gone.
	seen map[string]int64
}

// NewBook returns a book without evacuations.
func NewBook() *Book { return &Book{zones: Set{}, seen: make(map[string]int64)} }

// Row is a change of a zone's row.
type Row struct {
	Zone     string
	Revision int64
	Removed  bool
}

// Update applies changes of rows; if complete, the rows are all that there are. Changes
// older than what was seen of a zone are left out.
func (b *Book) Update(rows []Row, complete bool, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, change := maps.Clone(b.zones), Change{}
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Zone] = present[row.Zone] || !row.Removed
		if row.Revision < b.seen[row.Zone] {
			continue
		}
		b.seen[row.Zone] = row.Revision
		held, was := next[row.Zone]
		switch {
		case row.Removed && was:
			delete(next, row.Zone)
			change.Ended = append(change.Ended, held)
		case !row.Removed && !was:
			next[row.Zone] = Evacuation{Zone: row.Zone, Since: now, Revision: row.Revision}
			change.Begun = append(change.Begun, next[row.Zone])
		}
	}
	if complete {
		for _, zone := range next.Zones() {
			if !present[zone] {
				change.Ended = append(change.Ended, next[zone])
				delete(next, zone)
			}
		}
	}
	b.zones = next
	return change
}

// InForce returns the evacuations in force.
func (b *Book) InForce() Set {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.zones
}
