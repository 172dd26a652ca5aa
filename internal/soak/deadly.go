package soak

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/fakes/town"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// crashesToStop is the number of crashes after which the hosts have to stop sending requests with a deadly part, and
	// contactTime how long after it.
	crashesToStop = 5
	contactTime   = 4 * time.Second
	// maxLateDeadly is the number of such requests that may still reach engines, in total.
	maxLateDeadly = 3
	// minSoundSample is the number of sound requests from which their served ratio is checked.
	minSoundSample = 20
	// deadlyPrefill is the time from a request's arrival to its answer, deadlyDowntime how long a crashed engine is down.
	deadlyPrefill  = 80 * time.Millisecond
	deadlyDowntime = 1500 * time.Millisecond
)

// crasher crashes each engine that begins to answer a request whose prompt holds the deadly part.
type crasher struct {
	town *town.Platform

	mu       sync.Mutex
	crashes  []time.Time
	isDown   map[*plat.Server]bool
	restarts sync.WaitGroup
}

// script returns the script of an engine that others reach through a proxy.
func (c *crasher) script(ctx context.Context, e *plat.Server, p *proxy) plat.Script {
	return func(conn net.Conn, r *plat.Request) bool {
		if !town.IsDeadly(r.Header) || e.IsMisdirected(r) {
			return false
		}
		e.MarkRun(r)
		time.Sleep(deadlyPrefill)
		plat.WriteStreamHeader(conn, r)
		c.crash(ctx, e, p)
		return true
	}
}

// crash takes an engine down until it restarts under another ID, unless it is down already.
func (c *crasher) crash(ctx context.Context, e *plat.Server, p *proxy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDown == nil {
		c.isDown = make(map[*plat.Server]bool)
	}
	if c.isDown[e] {
		return
	}
	c.isDown[e] = true
	c.crashes = append(c.crashes, time.Now())
	p.stopListening()
	e.Crash()
	c.restarts.Add(1)
	go func() {
		defer c.restarts.Done()
		if ticks.Sleep(ctx, deadlyDowntime) {
			c.restart(ctx, e, p)
		}
	}()
}

func (c *crasher) restart(ctx context.Context, e *plat.Server, p *proxy) {
	c.town.Unregister(e)
	e.Rename()
	e.Restart()
	if err := p.listen(ctx); err != nil {
		panic(err)
	}
	c.town.Register(e, false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDown[e] = false
}

func (c *crasher) crashTimes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.crashes)
}

// checkDeadlyPart returns a description of each violation around requests with a deadly part: after crashesToStop crashes
// hosts in touch send no more of them, and sound requests of the same caller and first part are still served.
func (s *Soak) checkDeadlyPart() []string {
	crashes := s.crasher.crashTimes()
	if len(crashes) == 0 {
		return []string{"no engine crashed on the deadly part"}
	}
	last := crashes[min(crashesToStop, len(crashes))-1]
	hosts := make(map[string]int)
	sound, served := 0, 0
	for _, o := range s.recorder.outcomes {
		hosts[o.id] = o.host
		if o.path != town.ReportPath || o.isDeadly || !o.sentAt.After(last.Add(2*contactTime)) || !s.disturbances.isInTouch(o.host, o.sentAt) {
			continue
		}
		sound++
		if o.isServed() {
			served++
		}
	}
	late := 0
	for _, e := range s.town.Servers {
		for _, r := range e.Requests() {
			host, isKnown := hosts[r.Attempt()]
			if isKnown && town.IsDeadly(r.Header) && r.At.After(last.Add(contactTime)) && s.disturbances.isInTouch(host, r.At) {
				late++
			}
		}
	}
	var violations []string
	fmt.Fprintf(s.Out, "seed %d: %d crashes, %d late requests with the deadly part, %d of %d sound ones served\n", s.Seed, len(crashes), late, served, sound)
	if len(crashes) >= crashesToStop && late > maxLateDeadly {
		violations = append(violations, fmt.Sprintf("%d requests with a part that had crashed %d engines reached engines, %d crashed in total", late, crashesToStop, len(crashes)))
	}
	if sound >= minSoundSample && float64(served) < minServedRatio*float64(sound) {
		violations = append(violations, fmt.Sprintf("%d of %d sound requests beside those with a deadly part were served", served, sound))
	}
	return violations
}

// allHosts is the host of a disturbance that affects all of them.
const allHosts = -1

// disturbances records when faults affected hosts.
type disturbances struct {
	mu    sync.Mutex
	spans []*span
}

// span is the time in which one fault affects a host; end is zero while it lasts.
type span struct {
	host       int
	start, end time.Time
}

// begin records the start of a disturbance; the function that it returns records the end.
func (d *disturbances) begin(host int) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	one := &span{host: host, start: time.Now()}
	d.spans = append(d.spans, one)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		one.end = time.Now()
	}
}

// wasDisturbed reports whether a fault affected a host between two moments.
func (d *disturbances) wasDisturbed(host int, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.spans, func(one *span) bool {
		affects := one.host == host || one.host == allHosts
		return affects && !one.start.After(to) && (one.end.IsZero() || one.end.After(from))
	})
}

// isInTouch reports whether nothing disturbed a host within contactTime before a moment.
func (d *disturbances) isInTouch(host int, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !slices.ContainsFunc(d.spans, func(one *span) bool {
		affects := one.host == host || one.host == allHosts
		return affects && !one.start.After(at) && (one.end.IsZero() || one.end.After(at.Add(-contactTime)))
	})
}

// wasHarmed reports whether a fault of a host itself or of its links affected it between two moments.
func (d *disturbances) wasHarmed(host int, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.spans, func(one *span) bool {
		return one.host == host && !one.start.After(to) && (one.end.IsZero() || one.end.After(from))
	})
}

// lastEnd returns the end of the last disturbance of a host before a moment, and that moment if one lasts.
func (d *disturbances) lastEnd(host int, before time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	var last time.Time
	for _, one := range d.spans {
		if one.host != host && one.host != allHosts || one.start.After(before) {
			continue
		}
		if one.end.IsZero() || one.end.After(before) {
			return before
		}
		if one.end.After(last) {
			last = one.end
		}
	}
	return last
}
