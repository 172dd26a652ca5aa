package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSoundRequestsWithPartsOfADeadlyOneAreNotRefused guards against sound requests that are refused for parts that were sent
// together with the one that crashes servers.
func TestSoundRequestsWithPartsOfADeadlyOneAreNotRefused(t *testing.T) {
	const first, own, deadly, other = 1, 2, 3, 4
	for _, tc := range []struct {
		name    string
		crashes []Keys
		request Keys
		isSent  bool
	}{
		{"without the part", []Keys{{Parts: []uint64{first, own, deadly}}, {Parts: []uint64{first, own, deadly}}}, Keys{Parts: []uint64{first, own}}, true},
		{"with the part", []Keys{{Parts: []uint64{first, own, deadly}}, {Parts: []uint64{first, own, deadly}}}, Keys{Parts: []uint64{first, own, deadly}}, false},
		{"first part crashed without it too", []Keys{{Parts: []uint64{first, own}}, {Parts: []uint64{first, own}}, {Parts: []uint64{first, other}}}, Keys{Parts: []uint64{first, other}}, false},
		{"the other crashes have other causes", []Keys{{Parts: []uint64{first, own}}, {Parts: []uint64{first, other}}}, Keys{Parts: []uint64{first}}, false},
		{"a whole request explains nothing", []Keys{{Parts: []uint64{first}, Whole: 9 | wholeBit}, {Parts: []uint64{first}, Whole: 9 | wholeBit}}, Keys{Parts: []uint64{first}, Whole: 8 | wholeBit}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newClock()
			table := c.table("h")
			for i, keys := range tc.crashes {
				c.now += time.Second
				table.accuse(keys, Crash{Server: fmt.Sprint("s", i), at: c.now})
			}
			c.now += time.Second
			assert.Equal(t, table.wait(tc.request) == 0, tc.isSent)
			if !tc.isSent {
				return
			}
			run(t, table, tc.request, "s9").Answered()
			assert.Equal(t, table.Quarantined(), 1, "only the part that the answered request lacks")
		})
	}
}
