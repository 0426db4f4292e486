// Package digest spreads tables that change all the time to many nodes by the little of
// them that matters.
//
// The entry of a back end is written every few seconds to say that it is alive; its address
// or state changes a few times in its life. With 986 nodes and 10,000 back ends, a watch of
// that table by every node would read 690 MB a second from a store whose link carries 500,
// and say nothing. So few nodes, those that need all of it, read the table itself. One of
// them, the publisher, keeps a digest of it in the store: a row for each row of the table
// with what matters of it, written when that changes, and a proof, which names the moment of
// the store up to which the digest is whole. All other nodes follow the digest, by a watch
// like any other: the store carries the messages, so that there are no links to be kept, no
// followers to be counted and nobody to be found anew when a node dies.
//
// # What a follower may claim
//
// A proof carries the store's own clock: that of the answer which showed the publisher all
// rows that the digest covers. A follower compares it with the store's clock in its own last
// answer, and adds the time since it asked for that, time away included. No clock of one
// machine is compared with that of another, so a publisher that was frozen, suspended, cut
// off or is gone makes the digest old and never wrongly fresh (the safe time of IEP-98, with
// the store as the clock).
//
// # Who publishes
//
// Every write of a publisher is conditional on the proof as it wrote it last. Whoever writes
// the proof with another name is the publisher from then on, and all that the one before
// still has under way fails. A node does so when it has read the table itself up to a moment
// well after that of the proof, the first in rank first. Nothing rests on there being one
// publisher at a time.
//
// A publisher at work is left alone: one that has just taken over reads the digest first, and
// one that writes many changes needs many transactions. It renews its claim meanwhile. After an
// outage of the store it has as long as a new one to catch up.
//
// # Waiting
//
// Whoever does not need the table leaves it as soon as nodes are known to be many, also before
// there is a digest, and while more of the table arrives: if all read it, its publisher cannot. It
// then waits for the digest with what it has read, and says how old that is. It waits for as long
// as the table took to arrive, which the publisher has to read as well, and while the digest is
// written. A digest is given up once nobody writes it, not for being behind, and the table is given
// up again if it arrives too late to be of use.
//
// # From the table to the digest
//
// A node that leaves the table holds it as of a later moment than the digest does. What had
// changed in between, and changed back before the publisher looked, is in no change of the
// digest: the node would hold a back end for good that came and went. So it claims no more than
// before until a proof covers what it holds, and the sums of both are the same. If they are not,
// it reads the digest whole.
//
// # Rows
//
// All rows stand in the table Table, in the partition of the tables that others write, so
// that what makes these unreadable takes the digest with it: keyProof holds a Proof, and
// SOURCE/KEY the entry of a row.
package digest

import (
	"encoding/json"
	"strings"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// Table is the table of the digest, Partition its partition.
const (
	Table     = "digest"
	Partition = ""
)

// keyProof is the key of the proof. No source has that name.
const keyProof = "proof"

// Format is the layout of the rows. A node does not follow a digest of a later one, nor take
// its publishing over.
const Format = 1

// Proof says up to where a digest is whole, and who keeps it.
type Proof struct {
	Format      int    `json:"format"`
	Publisher   string `json:"publisher"`
	Incarnation int64  `json:"incarnation"`
	// Round counts the writes of this publisher.
	Round int64 `json:"round"`
	// Unfinished tells that the write held a part of what had changed, and more follows.
	Unfinished bool `json:"unfinished,omitempty"`
	// Reached holds, by source, the moment of the store up to which the digest is whole.
	Reached map[string]rowstore.Moment `json:"reached"`
	// Sum is the sum of what the digest holds of the source, nil if it is not known; builds
	// before this field do not tell it.
	Sum *uint64 `json:"sum,omitempty"`
}

// entry is what the digest holds of a row.
type entry struct {
	// Revision is that of the row from which the content was made.
	Revision int64           `json:"revision"`
	Content  json.RawMessage `json:"content"`
}

func proofID() rowstore.RowID {
	return rowstore.RowID{Table: Table, Partition: Partition, Key: keyProof}
}

func entryID(source, key string) rowstore.RowID {
	return rowstore.RowID{Table: Table, Partition: Partition, Key: source + "/" + key}
}

// splitKey returns the source and the key that a row of the digest is about.
func splitKey(rowKey string) (source, key string, ok bool) { return strings.Cut(rowKey, "/") }

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("digest: a row cannot be encoded: " + err.Error())
	}
	return encoded
}

// decodeProof reads a proof. It fails if this build does not know the format.
func decodeProof(value []byte) (Proof, error) {
	var proof Proof
	if err := json.Unmarshal(value, &proof); err != nil {
		return Proof{}, err
	}
	if proof.Format < 1 || proof.Format > Format {
		return Proof{}, errFormat
	}
	return proof, nil
}
