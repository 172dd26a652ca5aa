package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonspur/tarragonspur/internal/lease"
	"github.com/tarragonspur/tarragonspur/internal/object"
)

const duration = 10 * time.Second

// process is a competitor whose clock has its own offset and rate.
type process struct {
	core   lease.Core
	offset time.Duration
	rate   float64
	paused bool
	// write is a write that takes effect later.
	write *lease.Action
}

// simulation is the store and the competing processes; now is the true time.
type simulation struct {
	now       time.Duration
	version   object.Version
	record    lease.Record
	processes []*process
	fence     uint64
	holder    *process
}

func (f *simulation) clock(m *process) time.Time {
	return time.Unix(0, 0).Add(m.offset + time.Duration(float64(f.now)*m.rate))
}

func (f *simulation) draw(t *rapid.T) *process {
	return f.processes[rapid.IntRange(0, len(f.processes)-1).Draw(t, "member")]
}

func (f *simulation) apply(a lease.Action) bool {
	if f.version != a.Expect {
		return false
	}
	f.version++
	f.record = a.Record
	return true
}

// step lets one process take its next step; the fate of a write is drawn.
func (f *simulation) step(t *rapid.T) {
	m := f.draw(t)
	if m.paused {
		return
	}
	now := f.clock(m)
	a := m.core.Next(now)
	switch a.Step {
	case lease.StepRead:
		m.core.Read(f.record, f.version, now)
	case lease.StepWrite:
		f.write(t, m, a, now)
	case lease.StepWait:
	}
}

func (f *simulation) write(t *rapid.T, m *process, a lease.Action, now time.Time) {
	switch rapid.SampledFrom([]string{"answered", "lost", "late", "dropped"}).Draw(t, "fate") {
	case "answered":
		if f.apply(a) {
			m.core.WriteSucceeded(a, f.version, now)
			return
		}
	case "lost":
		f.apply(a)
	case "late":
		m.write = &a
	}
	m.core.Failed(now, 0)
}

// applyLateWrite makes a late write take effect.
func (f *simulation) applyLateWrite(t *rapid.T) {
	m := f.draw(t)
	if m.write != nil {
		f.apply(*m.write)
		m.write = nil
	}
}

// check asserts that at most one process holds the lease, and that each new holder has a higher fencing token.
func (f *simulation) check(t *rapid.T) {
	var holder *process
	for _, m := range f.processes {
		grant, ok := m.core.Holds(f.clock(m))
		if m.paused || !ok {
			continue
		}
		assert.Assert(t, holder == nil, "two holders")
		holder = m
		assert.Assert(t, grant.Fence >= f.fence, "fencing token fell from %d to %d", f.fence, grant.Fence)
		if f.holder != m {
			assert.Assert(t, grant.Fence > f.fence, "a new holder has the old fencing token")
		}
		f.fence, f.holder = grant.Fence, m
	}
}

func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &simulation{}
		for i := range rapid.IntRange(2, 4).Draw(t, "members") {
			f.processes = append(f.processes, &process{
				core:   lease.Core{Holder: string(rune('a' + i)), Incarnation: 1, Duration: duration},
				offset: time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "offset")) * time.Hour,
				rate:   rapid.Float64Range(0.96, 1.04).Draw(t, "rate"),
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": f.step,
			"land": f.applyLateWrite,
			"pause": func(t *rapid.T) {
				m := f.draw(t)
				m.paused = !m.paused
			},
			"wait": func(t *rapid.T) {
				f.now += time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond
			},
			"": f.check,
		})
	})
}

// TestHolderLapsesBeforeOthersTake pauses a holder past the end of its lease: it must not act any more when another
// process takes over.
func TestHolderLapsesBeforeOthersTake(t *testing.T) {
	start := time.Unix(0, 0)
	a := lease.Core{Holder: "a", Duration: duration}
	b := lease.Core{Holder: "b", Duration: duration}
	a.Read(lease.Record{}, 0, start)
	first := a.Next(start.Add(duration))
	a.WriteSucceeded(first, 1, start.Add(duration))
	_, held := a.Holds(start.Add(duration))
	assert.Assert(t, held)
	b.Read(first.Record, 1, start.Add(duration+time.Second))
	assert.Equal(t, b.Next(start.Add(2*duration)).Step, lease.StepRead)
	_, held = a.Holds(start.Add(2 * duration))
	assert.Assert(t, !held)
	second := b.Next(start.Add(2*duration + time.Second))
	assert.Equal(t, second.Step, lease.StepWrite)
	assert.Equal(t, second.Record.Fence, first.Record.Fence+1)
	assert.Equal(t, second.Expect, object.Version(1))
}
