package relay_test

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
)

const modelTokens = 6

// TestMain sets the seed of rapid to 1 unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// streamModel drives the Machine of one request with random events and tracks the state that it must agree with.
type streamModel struct {
	machine relay.Machine
	now     time.Time
	last    relay.Action
	// conns and attempts count the opened connections and started attempts.
	conns int
	// unreachable counts the attempts that could not connect, so that nothing was sent.
	unreachable int
	attempts    int
	// placing says that the Machine waits for a backend server, stopping that it waits for the end of an attempt.
	placing, stopping bool
	// working says that an engine may work on an attempt.
	working bool
	// mayHaveRun says that an engine may have run part of the request; open says that an attempt is open.
	mayHaveRun, open bool
	ended            bool
	// base is the number of tokens delivered by earlier generations.
	base int
	// delivered holds the frames delivered to the caller.
	delivered []engine.Frame
}

func newStreamModel(continues bool) *streamModel {
	m := &streamModel{machine: relay.Machine{ID: "req", Continue: continues}, now: time.Unix(0, 0)}
	m.placing = m.machine.Begin().Kind == relay.ActionPlace
	return m
}

// step passes an event to the Machine and checks the returned action.
func (m *streamModel) step(t *rapid.T, e relay.Event) {
	e.At = m.now
	if e.Kind == relay.EventPlaced {
		m.open = true
	}
	a := m.machine.Step(&e)
	m.last = a
	if m.ended {
		assert.Equal(t, a.Kind, relay.ActionNone, "action after the end of the stream")
		return
	}
	if a.Abandon == relay.CauseUnreachable {
		m.unreachable++
	}
	if a.Abandon == relay.CauseLost || a.Abandon == relay.CauseUnresponsive || a.Abandon == relay.CauseCallerLeft {
		m.mayHaveRun = true
	}
	switch a.Kind {
	case relay.ActionDeliver:
		m.pass(t, e.Frame)
	case relay.ActionStart:
		assert.Equal(t, a.Offset, m.base)
		assert.Equal(t, len(m.delivered), m.base, "a second generation after the first token")
		assert.Assert(t, !m.working, "a start while an engine may work on the attempt before")
		m.working = true
		m.attempts++
		m.conns = a.Conn
		m.placing = false
		assert.Assert(t, m.attempts-m.unreachable <= relay.DefaultMaxStarts)
	case relay.ActionResume:
		m.conns = a.Conn
		assert.Equal(t, a.Offset, len(m.delivered)-m.base)
	case relay.ActionPlace:
		if m.machine.Continue {
			m.base = len(m.delivered)
		}
		if m.stopping {
			assert.Equal(t, a.Abandon, relay.CauseNone)
			assert.Equal(t, e.Kind, relay.EventEnded)
		} else {
			assert.Assert(t, a.Abandon == relay.CauseRefused || a.Abandon == relay.CauseUnreachable, "an attempt that may have run is not stopped")
		}
		m.placing, m.stopping, m.open, m.working = true, false, false, false
	case relay.ActionStop:
		assert.Assert(t, a.Abandon == relay.CauseLost || a.Abandon == relay.CauseUnresponsive)
		assert.Equal(t, a.Attempt, m.attempts)
		m.conns = a.Conn
		m.stopping, m.open = true, false
	case relay.ActionFinish:
		m.ended = true
		assert.Equal(t, len(m.delivered)-m.base, modelTokens, "an incomplete answer ends as complete")
	case relay.ActionFail:
		m.fail(t, a)
	}
}

func (m *streamModel) pass(t *rapid.T, f engine.Frame) {
	assert.Equal(t, f.Request, relay.AttemptID("req", m.attempts))
	assert.Equal(t, f.Offset, len(m.delivered)-m.base)
	if len(m.delivered) > m.base {
		assert.Equal(t, f.Generation, m.delivered[m.base].Generation)
	}
	m.delivered = append(m.delivered, f)
	m.mayHaveRun = true
}

func (m *streamModel) fail(t *rapid.T, a relay.Action) {
	m.ended = true
	switch a.Refusal.Run {
	case refuse.NotRun:
		assert.Assert(t, !m.mayHaveRun, "not_run of a request that may have run")
		assert.Equal(t, len(m.delivered), 0)
	case refuse.Partial:
		assert.Equal(t, a.Refusal.TokensDelivered, len(m.delivered))
	}
	if m.open {
		assert.Assert(t, a.Abandon != relay.CauseNone, "an open attempt is not abandoned")
	}
}

// drawConn draws the current connection or one that was replaced.
func (m *streamModel) drawConn(t *rapid.T) int {
	return rapid.IntRange(max(0, m.conns-2), m.conns).Draw(t, "conn")
}

// frame sends a random frame: of any attempt, any generation and an offset near the next one.
func (m *streamModel) frame(t *rapid.T) {
	if m.attempts == 0 {
		return
	}
	attempt := rapid.IntRange(1, m.attempts).Draw(t, "attempt")
	id := rapid.SampledFrom([]string{relay.AttemptID("req", attempt), relay.AttemptID("req", attempt), "another"}).Draw(t, "id")
	generation := id + "/" + strconv.Itoa(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "generation"))
	near := max(0, len(m.delivered)-m.base-1)
	f := engine.Frame{Request: id, Generation: generation, Offset: rapid.IntRange(near, min(modelTokens, near+2)).Draw(t, "offset")}
	if f.Offset == modelTokens {
		f.Finish = "stop"
	}
	m.step(t, relay.Event{Kind: relay.EventFrame, Conn: m.drawConn(t), Frame: f})
}

// nextFrame sends the frame that a healthy engine would send now, so that runs get beyond the first tokens.
func (m *streamModel) nextFrame(t *rapid.T) {
	id := relay.AttemptID("req", m.attempts)
	f := engine.Frame{Request: id, Generation: id + "/0", Offset: len(m.delivered) - m.base}
	if f.Offset == modelTokens {
		f.Finish = "stop"
	}
	m.step(t, relay.Event{Kind: relay.EventFrame, Conn: m.conns, Frame: f})
}

func (m *streamModel) progress(t *rapid.T) {
	id := relay.AttemptID("req", m.attempts)
	tokens := rapid.IntRange(0, modelTokens).Draw(t, "tokens")
	p := engine.Progress{
		Generation: id + "/" + strconv.Itoa(rapid.IntRange(0, 1).Draw(t, "generation")),
		Tokens:     tokens,
		Finished:   tokens == modelTokens,
	}
	m.step(t, relay.Event{Kind: relay.EventProgress, Conn: m.drawConn(t), Progress: p})
}

func (m *streamModel) connEvent(t *rapid.T) {
	kind := rapid.SampledFrom([]relay.EventKind{
		relay.EventOpened, relay.EventRefused, relay.EventUnreachable, relay.EventGone,
		relay.EventBroken, relay.EventBusy, relay.EventProbeFailed, relay.EventEnded,
	}).Draw(t, "kind")
	m.step(t, relay.Event{Kind: kind, Conn: m.drawConn(t)})
}

func (m *streamModel) place(t *rapid.T) {
	if !m.placing {
		return
	}
	if rapid.IntRange(0, 5).Draw(t, "placed") > 0 {
		m.step(t, relay.Event{Kind: relay.EventPlaced})
		return
	}
	m.step(t, relay.Event{Kind: relay.EventUnplaced, Refusal: refuse.New(refuse.CodeOverloaded, "full")})
}

func (m *streamModel) tick(t *rapid.T) {
	if wake := m.machine.Wake(); rapid.Bool().Draw(t, "due") && wake.After(m.now) {
		m.now = wake
	} else {
		m.now = m.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second}).Draw(t, "pause"))
	}
	m.step(t, relay.Event{Kind: relay.EventTick})
}

func TestMachineUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStreamModel(rapid.Bool().Draw(t, "continues"))
		t.Repeat(map[string]func(*rapid.T){
			"place":    m.place,
			"frame":    m.frame,
			"next":     m.nextFrame,
			"next2":    m.nextFrame,
			"progress": m.progress,
			"simple":   m.connEvent,
			"tick":     m.tick,
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "leave") == 0 {
					m.step(t, relay.Event{Kind: relay.EventCallerLeft})
				}
			},
		})
	})
}

func TestMachineWithoutEventsEnds(t *testing.T) {
	tests := []struct {
		name      string
		delivered int
		// ends makes the end of each abandoned attempt known without delay.
		ends bool
	}{
		{"before the first token", 0, false},
		{"before the first token, attempts end", 0, true},
		{"mid-stream", 3, false},
	}
	for _, tt := range tests {
		m := newStreamModel(false)
		m.stepAll(relay.Event{Kind: relay.EventPlaced}, relay.Event{Kind: relay.EventOpened, Conn: 1})
		for i := range tt.delivered {
			m.stepAll(relay.Event{Kind: relay.EventFrame, Conn: 1, Frame: engine.Frame{Request: "req", Generation: "g", Offset: i}})
		}
		for range 200 {
			if wake := m.machine.Wake(); wake.After(m.now) {
				m.now = wake
			}
			m.stepAll(relay.Event{Kind: relay.EventTick})
			if m.last.Kind == relay.ActionStop && tt.ends {
				m.stepAll(relay.Event{Kind: relay.EventEnded, Conn: m.last.Conn})
			}
			if m.last.Kind == relay.ActionPlace {
				m.stepAll(relay.Event{Kind: relay.EventPlaced})
			}
			if m.last.Kind == relay.ActionFail {
				break
			}
		}
		assert.Equal(t, m.last.Kind, relay.ActionFail, tt.name)
		assert.Assert(t, m.now.Sub(time.Unix(0, 0)) < 15*time.Second)
	}
}

func (m *streamModel) stepAll(events ...relay.Event) {
	for _, e := range events {
		e.At = m.now
		m.last = m.machine.Step(&e)
	}
}

func TestEventsOfReplacedConnectionsHaveNoEffect(t *testing.T) {
	ahead := engine.Progress{Generation: "old", Tokens: 2}
	late := []relay.Event{
		{Kind: relay.EventFrame, Conn: 1, Frame: engine.Frame{Request: "req", Generation: "old"}},
		{Kind: relay.EventBroken, Conn: 1},
		{Kind: relay.EventGone, Conn: 2},
		{Kind: relay.EventRefused, Conn: 1},
		{Kind: relay.EventProgress, Conn: 2, Progress: ahead},
		{Kind: relay.EventProbeFailed, Conn: 1},
		{Kind: relay.EventEnded, Conn: 2},
	}
	for _, e := range late {
		t.Run(string(e.Kind), func(t *testing.T) {
			m := newStreamModel(false)
			m.stepAll(relay.Event{Kind: relay.EventPlaced}, relay.Event{Kind: relay.EventOpened, Conn: 1})
			m.now = m.machine.Wake()
			m.stepAll(relay.Event{Kind: relay.EventTick}, relay.Event{Kind: relay.EventProgress, Conn: 1, Progress: ahead})
			m.now = m.machine.Wake()
			m.stepAll(relay.Event{Kind: relay.EventTick})
			assert.Equal(t, m.last.Kind, relay.ActionResume)
			m.stepAll(relay.Event{Kind: relay.EventBroken, Conn: 2}, relay.Event{Kind: relay.EventEnded, Conn: 2}, relay.Event{Kind: relay.EventPlaced}, e)
			assert.Assert(t, m.last.Kind == relay.ActionNone || m.last.Kind == relay.ActionDrop)
			m.stepAll(relay.Event{Kind: relay.EventFrame, Conn: 3, Frame: engine.Frame{Request: "req-2", Generation: "new"}})
			assert.Equal(t, m.last.Kind, relay.ActionDeliver)
		})
	}
}

// TestRetriesDoNotFeedCollapse checks that the retry budget keeps the sends under 1.1 for each request while all
// engines refuse.
func TestRetriesDoNotFeedCollapse(t *testing.T) {
	const arrivals = 2000
	tests := []struct {
		name         string
		budget       relay.Budget
		withinBudget bool
	}{
		{"budget", &budget.Retry{}, true},
		{"no budget", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sends := 0
			for range arrivals {
				if b, ok := tt.budget.(*budget.Retry); ok {
					b.Arrived()
				}
				m := &relay.Machine{ID: "req", Budget: tt.budget}
				act := m.Begin()
				for act.Kind == relay.ActionPlace {
					act = m.Step(&relay.Event{Kind: relay.EventPlaced})
					sends++
					act = m.Step(&relay.Event{Kind: relay.EventRefused, Conn: act.Conn})
				}
				assert.Equal(t, act.Refusal.Run, refuse.NotRun)
			}
			assert.Equal(t, float64(sends) < 1.1*arrivals, tt.withinBudget, "%d sends", sends)
		})
	}
}
