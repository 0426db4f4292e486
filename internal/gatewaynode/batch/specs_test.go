package batch

import (
	"fmt"
	"testing"
)

// TestSpecCacheIsBoundedInBytes guards against a node that goes over its memory by the specifications
// of a few large jobs.
func TestSpecCacheIsBoundedInBytes(t *testing.T) {
	cached := func(count, bodyBytes int) (*specCache, []string) {
		c := newSpecCache()
		var jobs []string
		for i := range count {
			job := fmt.Sprint("job", i)
			c.put(job, &Spec{Items: []Item{{Body: make([]byte, bodyBytes)}}})
			if c.get(job) == nil {
				t.Errorf("%d bytes: job %d is not cached when it was added", bodyBytes, i)
			}
		}
		for i := range count {
			if job := fmt.Sprint("job", i); c.get(job) != nil {
				jobs = append(jobs, job)
			}
		}
		return c, jobs
	}
	for _, test := range []struct{ bodyBytes, want int }{
		{1 << 10, maxCachedSpecs}, {maxCachedSpecBytes / 4, 3}, {maxCachedSpecBytes * 3 / 4, 1}, {2 * maxCachedSpecBytes, 1},
	} {
		c, jobs := cached(2*maxCachedSpecs, test.bodyBytes)
		if len(jobs) != test.want {
			t.Errorf("%d bytes: %q are cached, want %d", test.bodyBytes, jobs, test.want)
		}
		c.retain(func(string) bool { return false })
		if c.bytes != 0 || len(c.order) != 0 || len(c.specs) != 0 {
			t.Errorf("%d bytes: %d bytes, %d jobs are left of an empty cache", test.bodyBytes, c.bytes, len(c.order))
		}
	}
}
