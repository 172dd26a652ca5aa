// Package memory bounds the bytes that all requests of a host take together.
package memory

import (
	"context"
	"sync"
)

// Pool is what requests share. The zero value is a pool of which nothing is held.
type Pool struct {
	mu   sync.Mutex
	held int64
	// released is closed at the next release; nil if none is awaited.
	released chan struct{}
}

// Acquire takes a number of bytes within a limit, and waits for them until ctx ends; a limit of 0 means none. Where nothing else is
// held, the bytes may exceed the limit.
func (p *Pool) Acquire(ctx context.Context, bytes, limit int64) bool {
	for {
		p.mu.Lock()
		if p.takeLocked(bytes, limit) {
			p.mu.Unlock()
			return true
		}
		if p.released == nil {
			p.released = make(chan struct{})
		}
		released := p.released
		p.mu.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
			return false
		}
	}
}

// Take is an Acquire that does not wait.
func (p *Pool) Take(bytes, limit int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeLocked(bytes, limit)
}

func (p *Pool) takeLocked(bytes, limit int64) bool {
	if limit > 0 && p.held > 0 && p.held+bytes > limit {
		return false
	}
	p.held += bytes
	return true
}

// Release releases a number of bytes that were taken.
func (p *Pool) Release(bytes int64) {
	if bytes == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held -= bytes
	if p.released != nil {
		close(p.released)
		p.released = nil
	}
}

// Account is what one request takes of a pool.
type Account struct {
	pool  *Pool
	limit int64

	mu       sync.Mutex
	taken    int64
	isClosed bool
}

// NewAccount returns an account without bytes; limit bounds what all accounts of the pool take together.
func (p *Pool) NewAccount(limit int64) *Account { return &Account{pool: p, limit: limit} }

// Take takes a number of bytes; false if they aren't free.
func (a *Account) Take(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isClosed || !a.pool.Take(int64(n), a.limit) {
		return false
	}
	a.taken += int64(n)
	return true
}

// Acquire is a Take that waits until the bytes are free or ctx ends.
func (a *Account) Acquire(ctx context.Context, n int) bool {
	if !a.pool.Acquire(ctx, int64(n), a.limit) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isClosed {
		a.pool.Release(int64(n))
		return false
	}
	a.taken += int64(n)
	return true
}

// Release releases a number of bytes that were taken.
func (a *Account) Release(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isClosed {
		a.taken -= int64(n)
		a.pool.Release(int64(n))
	}
}

// Held returns the bytes that the account has taken.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isClosed {
		return 0
	}
	return a.taken
}

// Close releases everything; what still reads for the request takes nothing more.
func (a *Account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isClosed {
		a.isClosed = true
		a.pool.Release(a.taken)
	}
}
