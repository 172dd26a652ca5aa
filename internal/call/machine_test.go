package call_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// model counts, independently of the Machine, what backend servers may have run.
type model struct {
	machine    call.Machine
	now        time.Time
	inFlight   bool
	reached    int
	mayHaveRun bool
	ended      bool
}

func (m *model) begin(t *rapid.T) {
	began := m.machine.Begin(m.now)
	if !began {
		return
	}
	assert.Assert(t, !m.inFlight && !m.ended, "a send begins during another one or after an answer")
	assert.Assert(t, m.now.Before(m.machine.Deadline), "a send begins after the deadline")
	assert.Assert(t, m.machine.Repeatable || !m.mayHaveRun, "a call that may have run is sent again")
	m.inFlight = true
}

func (m *model) end(t *rapid.T) {
	e := rapid.SampledFrom([]call.Event{call.EventUnreachable, call.EventRefused, call.EventLost, call.EventAnswered}).Draw(t, "event")
	wasOpen := m.inFlight
	m.machine.End(e)
	if !wasOpen {
		return
	}
	m.inFlight = false
	if e == call.EventLost || e == call.EventAnswered {
		m.reached++
		m.mayHaveRun = true
		m.ended = e == call.EventAnswered
	}
}

func (m *model) check(t *rapid.T) {
	if !m.machine.Repeatable {
		assert.Assert(t, m.reached <= 1, "a call that may not be repeated reached %d backend servers", m.reached)
	}
	if m.machine.Run() == refuse.NotRun {
		assert.Assert(t, !m.inFlight && !m.mayHaveRun, "a call that may have run is reported as not_run")
	}
	if m.ended {
		assert.Equal(t, m.machine.State(), call.Answered)
	}
}

func TestMachineUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		m := &model{now: start, machine: call.Machine{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			MaxSends:   rapid.IntRange(0, 4).Draw(t, "sends"),
			Deadline:   start.Add(time.Second),
		}}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin,
			"end":   m.end,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}
