package rollout

import "time"

// maxWatched bounds the rows that a node watches for a lapsed lease.
const maxWatched = 4096

type observation struct {
	revision  int64
	firstSeen time.Time
}

// leaseWatch remembers since when this node has seen rows unchanged. The
// revision grows with every renewal, so a row that stayed unchanged for a lease
// has an owner that stopped handing out.
type leaseWatch map[stepKey]observation

// observe notes that a row had the revision at the instant, and returns how
// long its lease still stands.
func (w leaseWatch) observe(key stepKey, revision int64, lease time.Duration, now time.Time) time.Duration {
	seen, ok := w[key]
	if !ok || seen.revision != revision {
		if len(w) >= maxWatched {
			clear(w)
		}
		w[key] = observation{revision: revision, firstSeen: now}
		return lease
	}
	return max(0, lease-now.Sub(seen.firstSeen))
}

// forget drops what was seen of a row, because the store was out of reach: its
// owner could not renew either.
func (w leaseWatch) forget(key stepKey) { delete(w, key) }
