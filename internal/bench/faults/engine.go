package faults

import (
	"strconv"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/relay"
	"github.com/tarragonspur/tarragonspur/internal/vtime"
)

// fakeEngine generates tokens in virtual time and counts what ran.
type fakeEngine struct {
	loop   *vtime.Loop
	name   string
	boot   int
	serial int
	down   bool
	deaths int
	runs   map[string]*run
	// swapped is a frame that waits to change places with another stream's next one.
	swapped *delivery
}

// run is one generation on an engine.
type run struct {
	request    *request
	id         string
	generation string
	tokens     int
	conn       *conn
	// silent stops the frames to the present connection.
	silent bool
	// mute makes the engine answer nothing about this run until then.
	mute    time.Time
	applied map[kind]bool
}

// conn is one connection of a host to an engine.
type conn struct {
	number int
	// offset is the next token to send.
	offset int
	// deliver hands an event to the host.
	deliver func(relay.Event)
}

type delivery struct {
	to    *conn
	frame engine.Frame
}

// emit sends an event that arrives after the one-way delay.
func (e *fakeEngine) emit(c *conn, event relay.Event) {
	event.Conn = c.number
	e.loop.After(oneWay, func() { c.deliver(event) })
}

// start takes a request and reports whether it ran.
func (e *fakeEngine) start(r *request, id string, c *conn, world *world) bool {
	switch {
	case e.down:
		e.emit(c, relay.Event{Kind: relay.EventUnreachable})
		return false
	}
	world.counts.Sends++
	switch {
	case r.has(kindRefused) && !world.used(r, kindRefused):
		e.emit(c, relay.Event{Kind: relay.EventRefused})
		return false
	}
	if at, twice := world.second[r]; twice && e.loop.Now().Sub(at) > lateStart {
		world.counts.LateStarts++
	}
	world.runs[r]++
	e.serial++
	one := &run{request: r, id: id, generation: e.generation(), conn: c, applied: make(map[kind]bool)}
	e.runs[id] = one
	first := firstToken
	if r.has(kindLate) && !world.used(r, kindLate) {
		first += lateBy
	}
	if r.has(kindMovedOn) && !world.used(r, kindMovedOn) {
		first += lateBy
		one.mute = e.loop.Now().Add(lateBy)
	}
	if one.mute.IsZero() {
		e.emit(c, relay.Event{Kind: relay.EventOpened})
	}
	e.loop.After(first, func() { e.generate(one, world) })
	return true
}

func (e *fakeEngine) generation() string {
	return e.name + "." + strconv.Itoa(e.boot) + "." + strconv.Itoa(e.serial)
}

// generate adds one token to a run, unless a fault prevents it, and plans the next one.
func (e *fakeEngine) generate(one *run, world *world) {
	if e.runs[one.id] != one || one.tokens > one.request.tokens {
		return
	}
	if e.fault(one, world) {
		return
	}
	one.tokens++
	e.flush(one)
	if one.tokens <= one.request.tokens {
		e.loop.After(tokenGap, func() { e.generate(one, world) })
	}
}

// fault brings about what befalls the run now; it reports whether the run is over. An engine dies before the
// first token in the request's first run only: a request with two such deaths can't be told from one that kills.
func (e *fakeEngine) fault(one *run, world *world) bool {
	r := one.request
	first, middle, last := one.tokens == 0, one.tokens >= r.at, one.tokens == r.tokens
	switch {
	case r.has(kindKills):
		world.killed(r)
		e.die(world)
		return true
	case first && r.has(kindDieBefore) && world.runs[r] == 1,
		middle && r.has(kindDieAfter) && !world.used(r, kindDieAfter),
		last && r.has(kindDieLast) && !world.used(r, kindDieLast):
		e.die(world)
		return true
	case middle && r.has(kindRestart) && !world.used(r, kindRestart):
		world.lost[one.generation] = true
		e.serial++
		one.generation = e.generation()
		one.tokens = r.at
	}
	if middle && r.has(kindSilent) && !one.applied[kindSilent] {
		one.applied[kindSilent] = true
		one.silent = true
	}
	if middle && r.has(kindHostDies) && !world.used(r, kindHostDies) {
		world.killHost(r)
	}
	return false
}

// flush sends the frames that the run's connection has not been sent.
func (e *fakeEngine) flush(one *run) {
	c := one.conn
	for !one.silent && c.offset < one.tokens {
		f := engine.Frame{Request: one.id, Generation: one.generation, Offset: c.offset}
		if c.offset == one.request.tokens {
			f.Finish = "stop"
		} else {
			f.Token = one.generation + "/" + strconv.Itoa(c.offset)
		}
		c.offset++
		e.cross(one, delivery{to: c, frame: f})
	}
}

// cross sends a frame; a frame that is to be crossed waits for another stream's next frame and changes places with it.
func (e *fakeEngine) cross(one *run, d delivery) {
	if one.request.has(kindCrossed) && d.frame.Offset == one.request.at && !one.applied[kindCrossed] {
		one.applied[kindCrossed] = true
		e.swapped = &d
		return
	}
	if e.swapped != nil && e.swapped.to != d.to {
		other := e.swapped
		e.swapped = nil
		d.to, other.to = other.to, d.to
		e.emit(other.to, relay.Event{Kind: relay.EventFrame, Frame: other.frame})
	}
	e.emit(d.to, relay.Event{Kind: relay.EventFrame, Frame: d.frame})
}

// resume continues a run on a new connection.
func (e *fakeEngine) resume(id, generation string, offset int, c *conn) {
	one := e.runs[id]
	switch {
	case e.down:
		e.emit(c, relay.Event{Kind: relay.EventUnreachable})
	case one == nil || one.generation != generation:
		e.emit(c, relay.Event{Kind: relay.EventGone})
	default:
		e.emit(c, relay.Event{Kind: relay.EventOpened})
		one.conn = c
		one.silent = false
		c.offset = offset
		e.flush(one)
	}
}

// progress answers a question about a run; it reports false where no answer comes.
func (e *fakeEngine) progress(id string) (relay.Event, bool) {
	one := e.runs[id]
	switch {
	case e.down:
		return relay.Event{Kind: relay.EventProbeFailed}, true
	case one == nil:
		return relay.Event{Kind: relay.EventGone}, true
	case e.loop.Now().Before(one.mute):
		return relay.Event{}, false
	}
	p := engine.Progress{Generation: one.generation, Tokens: min(one.tokens, one.request.tokens), Finished: one.tokens > one.request.tokens}
	return relay.Event{Kind: relay.EventProgress, Progress: p}, true
}

func (e *fakeEngine) cancel(id string) {
	if !e.down {
		delete(e.runs, id)
	}
}

// die breaks all connections and loses all runs; the engine is back, as another one, after engineDown.
func (e *fakeEngine) die(world *world) {
	e.deaths++
	e.boot++
	e.down = true
	e.swapped = nil
	for _, id := range sortedKeys(e.runs) {
		one := e.runs[id]
		world.lost[one.generation] = true
		if !one.silent {
			e.emit(one.conn, relay.Event{Kind: relay.EventBroken})
		}
	}
	e.runs = make(map[string]*run)
	e.loop.After(engineDown, func() { e.down = false })
}
