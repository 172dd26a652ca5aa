package canary

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
)

// ordered returns an order as the store holds it in an era.
func ordered(era, revision int64, status State) Order {
	o := order(epoch.Position{Era: era, Revision: revision}.Ordinal(), "v2")
	if status != Unset {
		o.Status, o.StatusTarget = status, "v2"
	}
	return o
}

// TestOrdersAfterAReturn guards against roll-outs that begin again, or whose outcome is lost, because a copy of the store shows an earlier
// state of their orders.
func TestOrdersAfterAReturn(t *testing.T) {
	later := epoch.Position{Era: 2, Revision: 3}.Ordinal()
	for _, tc := range []struct {
		name string
		// before is the order as it was known, copied as the copy holds it; nil for none.
		before, copied *Order
		// isWithdrawn is whether the order had disappeared before the return.
		isWithdrawn bool
		// after is the order as it is written again, nil if it is not.
		after *Order
		// serves is whether the target gets requests then, wanted the status that is written again.
		serves bool
		wanted State
	}{
		{"completed, in progress in the copy", new(ordered(1, 9, Completed)), new(ordered(2, 5, InProgress)), false, nil, true, Completed},
		{"completed, without status in the copy", new(ordered(1, 9, Completed)), new(ordered(2, 5, Unset)), false, nil, true, Completed},
		{"reverted, in progress in the copy", new(ordered(1, 9, Reverted)), new(ordered(2, 5, InProgress)), false, nil, false, Reverted},
		{"completed, in the copy too", new(ordered(1, 9, Completed)), new(ordered(2, 9, Completed)), false, nil, true, Unset},
		{"completed, not in the copy, and written again", new(ordered(1, 9, Completed)), nil, false, new(ordered(2, 4, Unset)), true, Completed},
		{"completed, not in the copy, and not written again", new(ordered(1, 9, Completed)), nil, false, nil, true, Unset},
		{"withdrawn, in the copy", new(ordered(1, 5, InProgress)), new(ordered(2, 5, InProgress)), true, nil, false, Unset},
		{"withdrawn, and written again", new(ordered(1, 5, InProgress)), new(ordered(2, 5, InProgress)), true, new(ordered(2, 8, Unset)), true, InProgress},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t)
			r.SetOrders(nil, epoch.Position{Era: 1, Revision: 1}.Ordinal())
			r.start("v1", 4)
			r.pass(time.Second)
			r.SetOrders([]Order{*tc.before}, tc.before.Revision)
			r.start("v2", 4)
			r.pass(time.Second)
			if tc.isWithdrawn {
				r.ChangeOrders(nil, []string{tc.before.Name}, epoch.Position{Era: 1, Revision: 12}.Ordinal())
			}
			var list []Order
			if tc.copied != nil {
				list = []Order{*tc.copied}
			}
			r.SetOrders(list, later)
			r.pass(time.Second)
			if tc.after != nil {
				r.ChangeOrders([]Order{*tc.after}, nil, tc.after.Revision)
				r.pass(time.Second)
			}
			assert.Equal(t, r.allowed()["v2"] > 0, tc.serves, "%v", r.allowed())
			wanted := Unset
			for _, w := range r.Writes() {
				wanted = w.State
			}
			assert.Equal(t, wanted, tc.wanted)
		})
	}
}

// TestOrderThatIsNotWrittenAgainEnds guards against an order that stays in force for good although the store has none.
func TestOrderThatIsNotWrittenAgainEnds(t *testing.T) {
	r := newRig(t)
	r.SetOrders([]Order{ordered(1, 9, InProgress)}, epoch.Position{Era: 1, Revision: 9}.Ordinal())
	r.start("v1", 4)
	r.start("v2", 4)
	r.pass(time.Second)
	later := epoch.Position{Era: 2, Revision: 3}.Ordinal()
	r.SetOrders(nil, later)
	r.pass(time.Second)
	assert.Equal(t, r.Status().InForce, 1)
	r.pass(rewriteTime)
	r.ChangeOrders(nil, nil, later)
	assert.Equal(t, r.Status().InForce, 0)
}
