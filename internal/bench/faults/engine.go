package faults

import (
	"strconv"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/relay"
	"github.com/tarragonspur/tarragonspur/internal/vtime"
)

// fakeEngine generates tokens in virtual time and injects the faults planned for its requests.
type fakeEngine struct {
	loop     *vtime.Loop
	name     string
	boot     int
	runCount int
	down     bool
	deaths   int
	runs     map[string]*run
	// held is a frame to be swapped with the next frame of another stream.
	held *delivery
}

// run is one generation on an engine.
type run struct {
	request    *request
	id         string
	generation string
	tokens     int
	conn       *conn
	// stalled stops sending frames to the current connection without closing it.
	stalled bool
	// mutedUntil is the time until which the engine does not answer probes of this run.
	mutedUntil time.Time
	// applied holds the faults that this run has had.
	applied map[kind]bool
}

// conn is one connection of a host to an engine.
type conn struct {
	number int
	// offset is that of the next token to send.
	offset int
	// deliver passes an event to the host.
	deliver func(relay.Event)
}

// delivery is a frame with the connection that it goes to.
type delivery struct {
	to    *conn
	frame engine.Frame
}

// emit sends an event that arrives after the one-way delay.
func (e *fakeEngine) emit(c *conn, event relay.Event) {
	event.Conn = c.number
	e.loop.After(oneWayDelay, func() { c.deliver(event) })
}

// start submits a request to the engine and reports whether it ran.
func (e *fakeEngine) start(r *request, id string, c *conn, world *world) bool {
	switch {
	case e.down:
		e.emit(c, relay.Event{Kind: relay.EventUnreachable})
		return false
	}
	world.counts.Sends++
	switch {
	case r.has(kindRefused) && !world.markApplied(r, kindRefused):
		e.emit(c, relay.Event{Kind: relay.EventRefused})
		return false
	}
	if at, twice := world.secondDeath[r]; twice && e.loop.Now().Sub(at) > lateStartAfter {
		world.counts.LateStarts++
	}
	if world.isAtWork(id, e) {
		world.counts.Overlaps++
	}
	world.runs[r]++
	e.runCount++
	run := &run{request: r, id: id, generation: e.generation(), conn: c, applied: make(map[kind]bool)}
	e.runs[id] = run
	first := firstTokenDelay
	if r.has(kindLateFirstToken) && !world.markApplied(r, kindLateFirstToken) {
		first += startDelay
	}
	if r.has(kindUnresponsiveStart) && !world.markApplied(r, kindUnresponsiveStart) {
		first += startDelay
		run.mutedUntil = e.loop.Now().Add(startDelay)
	}
	if run.mutedUntil.IsZero() {
		e.emit(c, relay.Event{Kind: relay.EventOpened})
	}
	e.loop.After(first, func() { e.generate(run, world) })
	return true
}

// generation returns the name of the newest run's generation.
func (e *fakeEngine) generation() string {
	return e.name + "." + strconv.Itoa(e.boot) + "." + strconv.Itoa(e.runCount)
}

// generate adds one token to a run, unless a fault ends it, and schedules the next one.
func (e *fakeEngine) generate(run *run, world *world) {
	if e.runs[run.id] != run || run.tokens > run.request.tokens {
		return
	}
	if e.applyFaults(run, world) {
		return
	}
	run.tokens++
	e.sendPending(run)
	if run.tokens <= run.request.tokens {
		e.loop.After(tokenGap, func() { e.generate(run, world) })
	}
}

// applyFaults injects the faults that are due and reports whether the run is over. An engine dies before the first token
// in the request's first run only: a request with two such deaths is indistinguishable from one that crashes engines.
func (e *fakeEngine) applyFaults(run *run, world *world) bool {
	r := run.request
	first, middle, last := run.tokens == 0, run.tokens >= r.faultOffset, run.tokens == r.tokens
	switch {
	case r.has(kindCrashesEveryEngine):
		world.recordDeath(r)
		e.die(world)
		return true
	case first && r.has(kindCrashBeforeFirstToken) && world.runs[r] == 1,
		middle && r.has(kindCrashMidStream) && !world.markApplied(r, kindCrashMidStream),
		last && r.has(kindCrashBeforeEnd) && !world.markApplied(r, kindCrashBeforeEnd):
		e.die(world)
		return true
	case middle && r.has(kindNewGeneration) && !world.markApplied(r, kindNewGeneration):
		world.lostGenerations[run.generation] = true
		e.runCount++
		run.generation = e.generation()
		run.tokens = r.faultOffset
	}
	if middle && r.has(kindStalled) && !run.applied[kindStalled] {
		run.applied[kindStalled] = true
		run.stalled = true
	}
	if middle && r.has(kindHostDies) && !world.markApplied(r, kindHostDies) {
		world.killHost(r)
	}
	return false
}

// sendPending sends the frames that the run's connection lacks, unless the run is stalled.
func (e *fakeEngine) sendPending(run *run) {
	c := run.conn
	for !run.stalled && c.offset < run.tokens {
		f := engine.Frame{Request: run.id, Generation: run.generation, Offset: c.offset}
		if c.offset == run.request.tokens {
			f.Finish = "stop"
		} else {
			f.Token = run.generation + "/" + strconv.Itoa(c.offset)
		}
		c.offset++
		e.sendFrame(run, delivery{to: c, frame: f})
	}
}

// sendFrame sends a frame. With kindSwapped the frame is held until another stream's next frame, and the two swap
// connections.
func (e *fakeEngine) sendFrame(run *run, d delivery) {
	if run.request.has(kindSwappedFrame) && d.frame.Offset == run.request.faultOffset && !run.applied[kindSwappedFrame] {
		run.applied[kindSwappedFrame] = true
		e.held = &d
		return
	}
	if e.held != nil && e.held.to != d.to {
		other := e.held
		e.held = nil
		d.to, other.to = other.to, d.to
		e.emit(other.to, relay.Event{Kind: relay.EventFrame, Frame: other.frame})
	}
	e.emit(d.to, relay.Event{Kind: relay.EventFrame, Frame: d.frame})
}

// resume continues a run on a new connection, from an offset of its generation.
func (e *fakeEngine) resume(id, generation string, offset int, c *conn) {
	run := e.runs[id]
	switch {
	case e.down:
		e.emit(c, relay.Event{Kind: relay.EventUnreachable})
	case run == nil || run.generation != generation:
		e.emit(c, relay.Event{Kind: relay.EventGone})
	default:
		e.emit(c, relay.Event{Kind: relay.EventOpened})
		run.conn = c
		run.stalled = false
		c.offset = offset
		e.sendPending(run)
	}
}

// progress returns the engine's answer to a probe of a run, or false if the engine does not answer.
func (e *fakeEngine) progress(id string) (relay.Event, bool) {
	run := e.runs[id]
	switch {
	case e.down:
		return relay.Event{Kind: relay.EventProbeFailed}, true
	case run == nil:
		return relay.Event{Kind: relay.EventGone}, true
	case e.loop.Now().Before(run.mutedUntil):
		return relay.Event{}, false
	}
	p := engine.Progress{Generation: run.generation, Tokens: min(run.tokens, run.request.tokens), Finished: run.tokens > run.request.tokens}
	return relay.Event{Kind: relay.EventProgress, Progress: p}, true
}

// cancel ends a run; a call to an engine that is down is lost.
func (e *fakeEngine) cancel(id string) {
	if !e.down {
		delete(e.runs, id)
	}
}

// die breaks all connections and loses all runs; the engine is back, with a new boot number, after engineDowntime.
func (e *fakeEngine) die(world *world) {
	e.deaths++
	e.boot++
	e.down = true
	e.held = nil
	for _, id := range sortedKeys(e.runs) {
		run := e.runs[id]
		world.lostGenerations[run.generation] = true
		if !run.stalled {
			e.emit(run.conn, relay.Event{Kind: relay.EventBroken})
		}
	}
	e.runs = make(map[string]*run)
	e.loop.After(engineDowntime, func() { e.down = false })
}
