package batch

import (
	"context"
	"testing"
)

// TestStoredItemThatIsNoRequestIsDead checks that an item of a job which an earlier build accepted, and
// whose request is not valid, ends without having been sent, and holds up no other one.
func TestStoredItemThatIsNoRequestIsDead(t *testing.T) {
	r := keepingRunner(t)
	spec := &Spec{ID: "job", Items: []Item{
		{ID: "sound", Path: "/a"},
		{ID: "path", Path: "/a HTTP/1.1\r\n\r\nGET /b"},
		{ID: "field", Path: "/a", Header: map[string]string{"Transfer-Encoding": "chunked"}},
		{ID: "scorer", Path: "/a", Scorer: &Scorer{ID: "s", Path: "b"}},
	}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	job := &ownedJob{id: "job", ctx: ctx, cancel: cancel, commitWake: make(chan struct{}, 1)}
	r.jobs["job"] = job
	r.start(job, storedJob{spec: spec})
	if job.items[0].phase != phaseWaiting || job.unfinished != 1 || len(job.finished) != 3 {
		t.Fatalf("phase %d of the sound item, %d unfinished, %d finished", job.items[0].phase, job.unfinished, len(job.finished))
	}
	for i, finished := range job.finished {
		if finished.result.ID != spec.Items[i+1].ID || finished.result.State != Dead {
			t.Errorf("result %+v", finished.result)
		}
	}
}
