package dispatch

import (
	"context"
	"sync"
	"time"
)

// backgroundTasks runs short calls that no request waits for, a bounded number
// at once and each for a bounded time.
type backgroundTasks struct {
	ctx     context.Context
	cancel  context.CancelFunc
	timeout time.Duration
	slots   chan struct{}

	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

func newBackgroundTasks(timeout time.Duration, limit int) *backgroundTasks {
	ctx, cancel := context.WithCancel(context.Background())
	return &backgroundTasks{ctx: ctx, cancel: cancel, timeout: timeout, slots: make(chan struct{}, limit)}
}

// start runs task unless too many run already or the tasks are closed, and
// tells whether it did.
func (b *backgroundTasks) start(task func(context.Context)) bool {
	select {
	case b.slots <- struct{}{}:
	default:
		return false
	}
	started := b.track(func() {
		defer func() { <-b.slots }()
		ctx, cancel := context.WithTimeout(b.ctx, b.timeout)
		defer cancel()
		task(ctx)
	})
	if !started {
		<-b.slots
	}
	return started
}

// track runs fn in a goroutine that close waits for.
func (b *backgroundTasks) track(fn func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.group.Add(1)
	go func() {
		defer b.group.Done()
		fn()
	}()
	return true
}

func (b *backgroundTasks) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.cancel()
	b.group.Wait()
}
