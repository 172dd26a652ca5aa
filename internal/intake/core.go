// Package intake bounds the connections of a listener, and the memory that the heads of their requests take together.
package intake

import (
	"container/list"
	"time"
)

// Reason says why a connection was closed.
type Reason string

// The reasons to close a connection.
const (
	// ReasonLines and ReasonBlankLines are limits of one head.
	ReasonLines      Reason = "lines"
	ReasonBlankLines Reason = "blank lines"
	// ReasonMemory, ReasonUnfinished and ReasonConnections are limits of all connections together.
	ReasonMemory      Reason = "memory"
	ReasonUnfinished  Reason = "unfinished heads"
	ReasonConnections Reason = "connections"
)

// Phase is what a connection is doing.
type Phase int

// The phases of a connection.
const (
	// Unfinished is a connection whose first head is awaited, or whose head has begun.
	Unfinished Phase = iota
	// Body is a connection whose head is complete and whose request is not.
	Body
	// Running is a connection whose request has been read and may have been forwarded.
	Running
	// Idle is a kept connection between two requests.
	Idle
	phases
)

// spareBytes is the cost up to which a head is not closed to free memory, so that ordinary callers are served while others
// fill it.
const spareBytes = 16 << 10

// Limits are the bounds of a listener.
type Limits struct {
	// HeadsBytes bounds the memory that the heads of all requests take together, beyond spareBytes of each.
	HeadsBytes int64
	// Unfinished bounds the connections in phase Unfinished, Connections those in all phases.
	Unfinished, Connections int
	// Forwarding counts each connection in phase Running twice towards Connections: its request has one to a backend server as well.
	Forwarding bool
	// Lines and BlankLines bound the lines of one head and the empty lines before it.
	Lines, BlankLines int
}

// Member is a connection of a Core.
type Member struct {
	phase Phase
	since time.Time
	cost  int64
	// lines counts the lines of the head so far.
	lines int
	// element is the member's place among those of its phase; nil once it has been removed.
	element *list.Element
}

// Victim is a connection that a Core gave up.
type Victim struct {
	*Member
	Reason Reason
}

// Core decides which connections stay open. It addresses many callers at once that leave heads unfinished, send heads that are
// small on the wire and large in memory, or send no bodies: what they hold is bounded, and a request that may have been forwarded
// is never given up. It is not safe for concurrent use.
type Core struct {
	Limits Limits

	// members are the connections by phase, in the order in which they entered it.
	members [phases]list.List
	held    int64
}

// Admit adds a new connection and returns those that are given up for it; nil if the new one has no place.
func (c *Core) Admit(now time.Time) (*Member, []Victim) {
	var victims []Victim
	for c.taken() >= c.Limits.Connections {
		oldest := c.oldest(Unfinished, Idle, Body)
		if oldest == nil {
			return nil, victims
		}
		victims = append(victims, c.giveUp(oldest, ReasonConnections))
	}
	m := &Member{}
	c.enter(m, Unfinished, now)
	return m, append(victims, c.limitUnfinished(m)...)
}

// Begin records the first bytes of a head on a kept connection, and returns the connections that are given up for it.
func (c *Core) Begin(m *Member, now time.Time) []Victim {
	if m.element == nil || m.phase != Idle {
		return nil
	}
	c.enter(m, Unfinished, now)
	return c.limitUnfinished(m)
}

// limitUnfinished gives up the oldest unfinished connection but one if there are too many.
func (c *Core) limitUnfinished(but *Member) []Victim {
	if c.members[Unfinished].Len() <= c.Limits.Unfinished {
		return nil
	}
	oldest := c.oldest(Unfinished)
	if oldest == but {
		return nil
	}
	return []Victim{c.giveUp(oldest, ReasonUnfinished)}
}

// Charge adds the cost of bytes of a connection's head, and returns the connections that are given up for it: those whose heads
// cost most, the connection itself included.
func (c *Core) Charge(m *Member, cost int64) []Victim {
	if m.element == nil {
		return nil
	}
	m.cost += cost
	c.held += cost
	var victims []Victim
	for c.held > c.Limits.HeadsBytes {
		most := c.mostExpensive()
		if most == nil {
			break
		}
		victims = append(victims, c.giveUp(most, ReasonMemory))
	}
	return victims
}

// Enter changes the phase of a connection, and returns the connections that are given up for it. The cost of its head ends with its
// request.
func (c *Core) Enter(m *Member, p Phase, now time.Time) []Victim {
	if m.element == nil {
		return nil
	}
	if p == Idle {
		c.Release(m)
	}
	c.enter(m, p, now)
	var victims []Victim
	for c.taken() > c.Limits.Connections {
		oldest := c.oldest(Unfinished, Idle, Body)
		if oldest == nil {
			break
		}
		victims = append(victims, c.giveUp(oldest, ReasonConnections))
	}
	return victims
}

// Release takes the cost of a connection's head back.
func (c *Core) Release(m *Member) {
	c.held -= m.cost
	m.cost = 0
}

// Remove removes a connection that was closed; one that was given up before is ignored.
func (c *Core) Remove(m *Member) {
	if m.element == nil {
		return
	}
	c.Release(m)
	c.members[m.phase].Remove(m.element)
	m.element = nil
}

// Count returns the number of connections.
func (c *Core) Count() int {
	count := 0
	for p := range c.members {
		count += c.members[p].Len()
	}
	return count
}

// taken returns how much of Limits.Connections is taken.
func (c *Core) taken() int {
	taken := c.Count()
	if c.Limits.Forwarding {
		taken += c.members[Running].Len()
	}
	return taken
}

func (c *Core) enter(m *Member, p Phase, now time.Time) {
	if m.element != nil {
		c.members[m.phase].Remove(m.element)
	}
	m.phase, m.since = p, now
	m.element = c.members[p].PushBack(m)
}

func (c *Core) giveUp(m *Member, reason Reason) Victim {
	c.Remove(m)
	return Victim{m, reason}
}

// oldest returns the connection that has been in its phase for the longest time, of the first of the phases that has any.
func (c *Core) oldest(order ...Phase) *Member {
	for _, p := range order {
		if front := c.members[p].Front(); front != nil {
			return front.Value.(*Member)
		}
	}
	return nil
}

// mostExpensive returns the connection whose head costs most, beyond spareBytes, of those whose requests can't have been
// forwarded; the oldest of equal ones.
func (c *Core) mostExpensive() *Member {
	var most *Member
	for _, p := range []Phase{Unfinished, Body} {
		for e := c.members[p].Front(); e != nil; e = e.Next() {
			if m := e.Value.(*Member); m.cost > spareBytes && (most == nil || m.cost > most.cost) {
				most = m
			}
		}
	}
	return most
}
