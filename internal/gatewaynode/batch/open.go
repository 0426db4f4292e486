package batch

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// storedJob is the state of a job as read from the store.
type storedJob struct {
	spec      *Spec
	committed []Result
	// texts are the longest checkpointed outputs of unfinished items, by item index.
	texts map[int]text
}

// read reads a job from the store: the specification and the results concurrently,
// then the checkpointed output of the items without a result.
func (r *runner) read(job *ownedJob) (storedJob, error) {
	var found storedJob
	var specErr, resultErr error
	var group sync.WaitGroup
	group.Go(func() { found.spec, specErr = r.manager.loadSpec(job.ctx, job.id, job.head) })
	begun := job.head.Epoch > 1 || job.head.Count > 0
	if begun {
		group.Go(func() { found.committed, resultErr = r.readCommitted(job) })
	}
	group.Wait()
	if err := errors.Join(specErr, resultErr); err != nil || !begun {
		return found, err
	}
	var err error
	found.texts, err = r.readTexts(job, uncommittedItems(found.spec, found.committed))
	return found, err
}

// readCommitted reads all committed results of a job. It returns
// rowstore.ErrStale if there are fewer than the head counts.
func (r *runner) readCommitted(job *ownedJob) ([]Result, error) {
	prefix := job.id + "/"
	rows, _, err := rowstore.ListAll(r.manager.within(job.ctx, job.origin), r.manager.config.Store, TableResults, rowstore.Shard(job.id), prefix, rowstore.KeyEnd(prefix))
	if err != nil {
		return nil, err
	}
	committed, err := decodeResults(rows, 0)
	if err == nil && len(committed) < job.head.Count {
		err = rowstore.ErrStale
	}
	return committed, err
}

// resultItemIDs returns the set of item IDs in results.
func resultItemIDs(results []Result) map[string]bool {
	listed := make(map[string]bool, len(results))
	for _, result := range results {
		listed[result.ID] = true
	}
	return listed
}

// uncommittedItems returns the indices of the items without a committed result.
func uncommittedItems(spec *Spec, committed []Result) []int {
	listed := resultItemIDs(committed)
	var rest []int
	for i := range spec.Items {
		if !listed[spec.Items[i].ID] {
			rest = append(rest, i)
		}
	}
	return rest
}

// maxItemReads is the maximum number of items whose output is read with one list call
// each. Checkpoints of finished items stay in the store, so that listing the whole
// job for a few remaining items would mostly read rows of no use.
const maxItemReads = 32

// readTexts reads the checkpointed output of items, by item index.
func (r *runner) readTexts(job *ownedJob, items []int) (map[int]text, error) {
	ctx := r.manager.within(job.ctx, job.origin)
	if len(items) > maxItemReads {
		return r.readTextsWithPrefix(ctx, job.id, job.id+"/")
	}
	found := make(map[int]text)
	var mu sync.Mutex
	var failed error
	var group sync.WaitGroup
	for _, item := range items {
		group.Go(func() {
			texts, err := r.readTextsWithPrefix(ctx, job.id, fmt.Sprintf("%s/%08d/", job.id, item))
			mu.Lock()
			defer mu.Unlock()
			failed = errors.Join(failed, err)
			maps.Copy(found, texts)
		})
	}
	group.Wait()
	return found, failed
}

// readTextsWithPrefix reads the checkpointed output under a key prefix, by item index.
func (r *runner) readTextsWithPrefix(ctx context.Context, job, prefix string) (map[int]text, error) {
	rows, _, err := rowstore.ListAll(ctx, r.manager.config.Store, TablePartials, rowstore.Shard(job), prefix, rowstore.KeyEnd(prefix))
	if err != nil {
		return nil, err
	}
	return decodePartials(rows), nil
}
