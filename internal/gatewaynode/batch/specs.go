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
	var content []byte
	for _, row := range rows {
		content = append(content, row.Value...)
	}
	spec := &Spec{}
	if err := json.Unmarshal(content, spec); err != nil {
		return nil, err
	}
	if m.allowedHere(head) {
		m.specs.put(job, spec)
	}
	return spec, nil
}

// specCache caches the specifications that were added last. It is safe for
// concurrent use.
type specCache struct {
	mu sync.Mutex
	// order holds the IDs of the cached jobs, oldest first.
	order []string
	specs map[string]*Spec
}

// maxCachedSpecs is the capacity of a specCache.
const maxCachedSpecs = 6

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
		delete(c.specs, job)
		return true
	})
}

func (c *specCache) put(job string, spec *Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.specs[job] == nil {
		c.order = append(c.order, job)
	}
	c.specs[job] = spec
	for len(c.order) > maxCachedSpecs {
		delete(c.specs, c.order[0])
		c.order = c.order[1:]
	}
}
