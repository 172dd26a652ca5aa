package memory_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/memory"
)

func TestAccountsShareTheirPool(t *testing.T) {
	var p memory.Pool
	first, second := p.NewAccount(10), p.NewAccount(10)
	assert.Assert(t, first.Take(8))
	assert.Assert(t, !second.Take(3))
	assert.Assert(t, second.Take(2))
	second.Release(2)
	time.AfterFunc(20*time.Millisecond, first.Close)
	assert.Assert(t, second.Acquire(t.Context(), 10), "released by the other account")
	ended, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	assert.Assert(t, !p.NewAccount(10).Acquire(ended, 1))
	second.Close()
	second.Close()
	second.Release(10)
	assert.Assert(t, !second.Take(1) && !second.Acquire(t.Context(), 1), "a closed account takes nothing")
	assert.Assert(t, p.Take(10, 10) && !p.Take(1, 10), "all is free again, and no more")
}

func TestLonelyBytesMayExceedTheLimit(t *testing.T) {
	var p memory.Pool
	a := p.NewAccount(10)
	assert.Assert(t, a.Take(100))
	assert.Assert(t, !a.Take(1))
	a.Release(100)
	assert.Assert(t, a.Take(1))
}
