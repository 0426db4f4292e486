package batch

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// loadSpec returns a job's specification from the cache or the store. It caches the
// specification only if this node is in the job's regions; nodes elsewhere may read
// it for a caller but must not retain it.
func (m *Manager) loadSpec(ctx context.Context, job string, head Head) (*Spec, error) {
	if spec := m.specs.get(job); spec != nil {
		return spec, nil
	}
	prefix := job + "/" + head.Nonce + "/"
	rows, _, err := rowstore.ListAll(m.within(ctx, head), m.config.Store, TableSpecs, rowstore.Shard(job), prefix, rowstore.KeyEnd(prefix))
	if err != nil {
		return nil, err
	}
	if len(rows) != head.Parts {
		return nil, rowstore.ErrStale
	}
	spec := &Spec{}
	if err := json.Unmarshal(joinValues(rows), spec); err != nil {
		return nil, err
	}
	if m.allowedHere(head) {
		m.specs.put(job, spec)
	}
	return spec, nil
}

// joinValues returns the values of rows, one behind the other.
func joinValues(rows []rowstore.Row) []byte {
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	content := make([]byte, 0, size)
	for _, row := range rows {
		content = append(content, row.Value...)
	}
	return content
}

// specCache caches the specifications that were added last. It is safe for
// concurrent use.
type specCache struct {
	mu sync.Mutex
	// order holds the IDs of the cached jobs, oldest first.
	order []string
	specs map[string]*Spec
	// bytes is the size of the cached specifications.
	bytes int
}

const (
	// maxCachedSpecs is the maximum number of specifications in a specCache.
	maxCachedSpecs = 6
	// maxCachedSpecBytes is their maximum size, a tenth of a small machine's memory. The one that was
	// added last stays, whatever its size: its job is about to be run.
	maxCachedSpecBytes = 32 << 20
	// itemOverhead is about what an item takes in memory besides its body.
	itemOverhead = 512
)

// size returns about what a specification takes in memory, in bytes.
func (s *Spec) size() int {
	size := 0
	for i := range s.Items {
		size += len(s.Items[i].Body) + itemOverhead
		if scorer := s.Items[i].Scorer; scorer != nil {
			size += len(scorer.Body) + itemOverhead
		}
	}
	return size
}

func newSpecCache() *specCache { return &specCache{specs: make(map[string]*Spec)} }

func (c *specCache) get(job string) *Spec {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.specs[job]
}

// retain removes the specifications of the jobs for which keep returns false.
func (c *specCache) retain(keep func(job string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order = slices.DeleteFunc(c.order, func(job string) bool {
		if keep(job) {
			return false
		}
		c.drop(job)
		return true
	})
}

func (c *specCache) put(job string, spec *Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.specs[job] != nil {
		return
	}
	c.order = append(c.order, job)
	c.specs[job] = spec
	c.bytes += spec.size()
	for len(c.order) > maxCachedSpecs || c.bytes > maxCachedSpecBytes && len(c.order) > 1 {
		c.drop(c.order[0])
		c.order = c.order[1:]
	}
}

// drop removes the specification of a job, but not its ID from order. The lock is held.
func (c *specCache) drop(job string) {
	c.bytes -= c.specs[job].size()
	delete(c.specs, job)
}
