package front

import (
	"sync"
	"sync/atomic"
)

// maxAnswersBytes is the default of Front.MaxAnswersBytes.
const maxAnswersBytes = 16 << 20

// account is what the answers to one request take of the memory for answers.
type account struct {
	// total are the bytes taken by all requests, which the limit bounds.
	total *atomic.Int64
	limit int64

	mu       sync.Mutex
	taken    int64
	isClosed bool
}

// answerAccount returns the account of a new request.
func (f *Front) answerAccount() *account {
	limit := f.MaxAnswersBytes
	if limit <= 0 {
		limit = maxAnswersBytes
	}
	return &account{total: &f.answers, limit: limit}
}

// Take takes a number of bytes; false if they aren't free.
func (a *account) Take(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isClosed {
		return false
	}
	if a.total.Add(int64(n)) > a.limit {
		a.total.Add(-int64(n))
		return false
	}
	a.taken += int64(n)
	return true
}

// Release releases a number of bytes that were taken.
func (a *account) Release(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isClosed {
		a.taken -= int64(n)
		a.total.Add(-int64(n))
	}
}

// close releases everything; what still reads for the request takes nothing more.
func (a *account) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isClosed = true
	a.total.Add(-a.taken)
}
