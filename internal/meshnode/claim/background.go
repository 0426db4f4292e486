package claim

import "sync"

// background counts work that outlives the call which began it. Unlike a WaitGroup it may be
// waited for while calls still begin work: a node that is killed does not wait for the
// requests that it is serving. The zero value is ready for use.
type background struct {
	mu      sync.Mutex
	running int
	// idle, if set, is closed once nothing runs.
	idle chan struct{}
}

// begin runs work.
func (b *background) begin(work func()) {
	b.mu.Lock()
	b.running++
	b.mu.Unlock()
	go func() {
		defer b.end()
		work()
	}()
}

func (b *background) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if b.running == 0 && b.idle != nil {
		close(b.idle)
		b.idle = nil
	}
}

// wait waits until nothing runs; what begins after that is not waited for.
func (b *background) wait() {
	b.mu.Lock()
	if b.running == 0 {
		b.mu.Unlock()
		return
	}
	if b.idle == nil {
		b.idle = make(chan struct{})
	}
	idle := b.idle
	b.mu.Unlock()
	<-idle
}
