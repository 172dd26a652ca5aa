package front

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/flow"
	"github.com/tarragonspur/tarragonspur/internal/send"
)

// maxAnswersBytes is the default of Front.MaxAnswersBytes.
const maxAnswersBytes = 16 << 20

// errNoMemory says that other answers take the host's memory for answers.
var errNoMemory = errors.New("other answers take the host's memory for answers")

// hasNoMemory reports whether an answer was not read for want of memory of the host, which says nothing of its backend server.
func hasNoMemory(err error) bool {
	return errors.IsAny(err, errNoMemory, send.ErrNoMemory, flow.ErrNoMemory)
}

// account is what the answers to one request take of the memory for answers.
type account struct {
	// memory is what all requests share, within the limit.
	memory *memory
	limit  int64

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
	return &account{memory: &f.answers, limit: limit}
}

// Take takes a number of bytes; false if they aren't free.
func (a *account) Take(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isClosed || !a.memory.take(int64(n), a.limit) {
		return false
	}
	a.taken += int64(n)
	return true
}

// acquire is a Take that waits until the bytes are free or ctx ends.
func (a *account) acquire(ctx context.Context, n int64) bool {
	if !a.memory.acquire(ctx, n, a.limit) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isClosed {
		a.memory.release(n)
		return false
	}
	a.taken += n
	return true
}

// Release releases a number of bytes that were taken.
func (a *account) Release(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isClosed {
		a.taken -= int64(n)
		a.memory.release(int64(n))
	}
}

// close releases everything; what still reads for the request takes nothing more.
func (a *account) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isClosed = true
	a.memory.release(a.taken)
}
