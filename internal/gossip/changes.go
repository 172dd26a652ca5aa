package gossip

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/pool"
)

const (
	// changePeriods is the number of periods in which a changed load is sent, since datagrams may be lost.
	changePeriods = 3
	// turnPeriods is the number of periods in which every load is sent once, changed or not.
	turnPeriods = 8
)

// changes remembers when the loads that a relay sends have changed. Its zero value is ready to use.
type changes struct {
	sent map[string]change
}

type change struct {
	load pool.Load
	// period is that of the change, turn the remainder of the periods in which the load is sent anyway.
	period int
	turn   int
}

// due returns the loads to send in a period: all of them, or those that have changed lately and some of the others in turn.
// A load that is gone is sent as zero for one turn.
func (c *changes) due(loads map[string]pool.Load, period int, onlyChanged bool) []ServerLoad {
	if c.sent == nil {
		c.sent = make(map[string]change)
	}
	for id, l := range loads {
		before, known := c.sent[id]
		if !known {
			before = change{turn: int(xxhash.Sum64String(id) % turnPeriods)}
		}
		if !known || before.load != l {
			before.load, before.period = l, period
			c.sent[id] = before
		}
	}
	all := make(map[string]pool.Load)
	for id, s := range c.sent {
		if _, exists := loads[id]; !exists && s.load != (pool.Load{}) {
			s.load, s.period = pool.Load{}, period
			c.sent[id] = s
		}
		if s.load == (pool.Load{}) && period-s.period > turnPeriods {
			delete(c.sent, id)
			continue
		}
		if !onlyChanged || period-s.period < changePeriods || period%turnPeriods == s.turn {
			all[id] = s.load
		}
	}
	return loadsOf(all)
}
