package policy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMatch(t *testing.T) {
	table := &Table{}
	table.SetRoutes([]*Route{
		{Name: "short", Host: "A.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"A.EXAMPLE", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"b.example", "/x/y/1", "other"},
		{"c.example", "/x/1", ""},
		{"a.example", "/%78/1", ""},
	}
	for _, tc := range tests {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			got := ""
			if r := table.Match(tc.host, tc.path); r != nil {
				got = r.Name
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

func TestServiceForFollowsTheWeights(t *testing.T) {
	r := &Route{Services: []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	const n = 20000
	for i := range n {
		id := fmt.Sprint(i)
		counts[r.ServiceFor(id)]++
		assert.Equal(t, r.ServiceFor(id), r.ServiceFor(id))
	}
	assert.Assert(t, counts["a"] > n*88/100 && counts["a"] < n*92/100, counts)
	assert.Equal(t, (&Route{}).ServiceFor("x"), "")
	assert.Equal(t, (&Route{Services: []WeightedService{{Service: "a"}}}).ServiceFor("x"), "a")
}

func TestHolderTakesNewerTablesOnly(t *testing.T) {
	h := &Holder{}
	assert.Assert(t, h.PutIfNewer(&Table{Version: 2}))
	assert.Assert(t, !h.PutIfNewer(&Table{Version: 1}), "an older table must not replace a newer one")
	assert.Assert(t, !h.PutIfNewer(&Table{Version: 2}))
	assert.Assert(t, h.PutIfNewer(&Table{Version: 3}))
	h.Confirm(5 * time.Second)
	h.Confirm(4 * time.Second)
	table, confirmed := h.View()
	assert.Equal(t, table.Version, int64(3))
	assert.Equal(t, confirmed, 5*time.Second, "an earlier confirmation must not replace a later one")
}
