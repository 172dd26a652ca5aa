package settle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoresTableCounts guards against a copy that counts as the newest table where the host, or another one, may know better, and against
// a table that never counts.
func TestStoresTableCounts(t *testing.T) {
	const start = 100 * time.Second
	young := known{version: 7, confirmedAt: start - time.Second}
	old := known{version: 7, confirmedAt: start - 10*time.Second}
	alone := func(c *core) { c.heard(2, 0, nil) }
	silence := func(c *core) { c.heard(2, 3, nil) }
	hear := func(answers ...answer) func(*core) { return func(c *core) { c.heard(2, 3, answers) } }
	lookUp := func(m Mark) func(*core) { return func(c *core) { c.lookedUp(2, m) } }
	read := func(version int64, isWritten bool) func(*core) {
		return func(c *core) { c.read(Reading{Era: 2, Version: version, IsWritten: isWritten}, known{}, start) }
	}
	for _, tc := range []struct {
		name    string
		inForce known
		stored  int64
		events  []func(*core)
		after   time.Duration
		want    string
	}{
		{"nothing is known", known{}, 7, nil, 0, ""},
		{"nothing is known for long", known{}, 7, nil, time.Minute, ""},
		{"no table", known{}, 0, []func(*core){alone, lookUp(Mark{})}, time.Minute, ""},
		{"first start", known{}, 7, []func(*core){alone, lookUp(Mark{})}, 0, reasonFirst},
		{"first start beside others", known{}, 7, []func(*core){hear(answer{}, answer{}), lookUp(Mark{})}, 0, reasonFirst},
		{"others have a table, no mark", known{}, 7, []func(*core){hear(answer{version: 6}), lookUp(Mark{})}, 0, ""},
		{"mark of this era", known{}, 7, []func(*core){silence, lookUp(Mark{Era: 2, Version: 7})}, 0, reasonMark},
		{"mark of this era with a newer table", known{}, 7, []func(*core){silence, lookUp(Mark{Era: 2, Version: 8})}, 0, ""},
		{"mark of the era before", known{}, 7, []func(*core){silence, lookUp(Mark{Era: 1, Version: 7})}, 0, ""},
		{"mark of the era before, for long", known{}, 7, []func(*core){silence, lookUp(Mark{Era: 1, Version: 7})}, rewriteTime + 1, reasonAge},
		{"counts elsewhere", known{}, 7, []func(*core){hear(answer{7, 2})}, 0, reasonOtherHost},
		{"counted elsewhere in the era before", known{}, 7, []func(*core){hear(answer{7, 1})}, 0, ""},
		{"another host has a newer table", known{}, 7, []func(*core){hear(answer{7, 2}, answer{8, 1})}, time.Minute, ""},
		{"another host has a newer table, and it is written", known{}, 7, []func(*core){hear(answer{8, 1}), read(8, true)}, 0, reasonWritten},
		{"another host has a newer table, and an older one is written", known{}, 6, []func(*core){hear(answer{8, 1}), read(7, true)}, 0, ""},
		{"written again", known{}, 7, []func(*core){read(7, true)}, 0, reasonWritten},
		{"listed twice", known{}, 7, []func(*core){read(7, false)}, 0, ""},
		{"a newer one listed", known{}, 7, []func(*core){read(8, false)}, 0, reasonWritten},
		{"listed once there is one", known{}, 0, []func(*core){read(8, false)}, 0, reasonWritten},
		{"known until the return, not asked", young, 7, nil, time.Minute, ""},
		{"known until the return, no answer", young, 7, []func(*core){silence}, 0, ""},
		{"known until the return, no answer for long", young, 7, []func(*core){silence}, rewriteTime + 1, reasonAge},
		{"known until the return, no other host", young, 7, []func(*core){alone}, 0, reasonKnown},
		{"known until the return, others agree", young, 7, []func(*core){hear(answer{7, 1})}, 0, reasonKnown},
		{"known until the return, the copy is newer", young, 8, []func(*core){hear(answer{7, 1})}, 0, reasonKnown},
		{"known until the return, the copy is older", young, 6, []func(*core){hear(answer{7, 1})}, time.Minute, ""},
		{"known until the return, another host knows more", young, 7, []func(*core){hear(answer{8, 1})}, time.Minute, ""},
		{"not known lately, others agree", old, 7, []func(*core){hear(answer{7, 1})}, 0, ""},
		{"not known lately, others agree for long", old, 7, []func(*core){hear(answer{7, 1})}, rewriteTime + 1, reasonAge},
		{"answers of an earlier round", known{}, 7, []func(*core){func(c *core) { c.heard(1, 0, nil) }, lookUp(Mark{})}, time.Minute, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c core
			assert.Equal(t, c.read(Reading{Era: 2, Version: tc.stored}, tc.inForce, start), true)
			for _, event := range tc.events {
				event(&c)
			}
			assert.Equal(t, c.settled(tc.inForce, start+tc.after), tc.want)
		})
	}
}

// TestEveryReturnIsSettledAnew guards against an era that counts because an earlier one did, and against an answer of an earlier era that
// takes the present one back. What other hosts have in force outlasts a return.
func TestEveryReturnIsSettledAnew(t *testing.T) {
	var c core
	inForce := known{version: 7, confirmedAt: time.Second}
	c.read(Reading{Era: 1, Version: 7}, known{}, time.Second)
	c.heard(1, 0, nil)
	c.lookedUp(1, Mark{Era: 1, Version: 7})
	assert.Equal(t, c.settled(known{}, time.Second), reasonMark)
	c.heard(1, 1, []answer{{8, 1}})
	assert.Equal(t, c.read(Reading{Era: 2, Version: 7}, inForce, time.Minute), true)
	assert.Equal(t, c.settled(inForce, time.Minute), "")
	assert.Equal(t, c.read(Reading{Era: 1, Version: 9}, inForce, time.Minute), false)
	assert.Equal(t, c.stored, int64(7), "an answer of the earlier era")
	c.heard(2, 1, nil)
	assert.Equal(t, c.settled(inForce, 2*time.Minute), "", "another host had version 8 in force")
	c.read(Reading{Era: 2, Version: 8}, inForce, 2*time.Minute)
	assert.Equal(t, c.settled(inForce, 2*time.Minute), reasonWritten)
}
