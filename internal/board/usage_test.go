package board_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/board"
)

func TestUsageCountsRequestFromOpenToClose(t *testing.T) {
	var u board.Usage
	key := board.RowKey{Workspace: "club", Service: "modelo"}
	now := time.Unix(100, 0)
	first, second := u.Open(key), u.Open(key)
	assert.Equal(t, u.Rows(now)[key].Waiting, 2)
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		first.CountOutput(now)
	}
	r := u.Rows(now)[key]
	assert.Equal(t, r.Waiting, 1)
	assert.Equal(t, r.Running, 1)
	assert.Assert(t, math.Abs(r.TokensPerSecond-10) < 0.2, "%v", r.TokensPerSecond)
	first.Close("")
	second.Close("overloaded")
	later := u.Rows(now.Add(time.Minute))[key]
	assert.Equal(t, later.Waiting+later.Running, 0)
	assert.Assert(t, later.TokensPerSecond < 0.1)
	assert.DeepEqual(t, later.Ended, map[string]int{"": 1, "overloaded": 1})
}
