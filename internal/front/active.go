package front

import (
	"context"
	"sync"
)

// active counts the requests in progress and their activities in the background. Unlike a sync.WaitGroup it may be raised from zero
// while it is awaited.
type active struct {
	mu    sync.Mutex
	count int
	// idle is closed when the count becomes zero; nil unless it is awaited.
	idle chan struct{}
}

// Add raises the count.
func (a *active) Add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
}

// Done lowers the count.
func (a *active) Done() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.count == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// wait blocks until the count has been zero or ctx ends.
func (a *active) wait(ctx context.Context) {
	a.mu.Lock()
	if a.count == 0 {
		a.mu.Unlock()
		return
	}
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	idle := a.idle
	a.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
