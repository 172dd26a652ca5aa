package books

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const storeTimeout = 500 * time.Millisecond

var errBroken = errors.New("connection broke")

// Faults are the chances and windows of failure in one run; chances are fractions of one.
type Faults struct {
	// Unreached, Refused, LostBefore, LostAfter and Slow are chances of one send to a backend server.
	Unreached  float64
	Refused    float64
	LostBefore float64
	LostAfter  float64
	Slow       float64
	// StoreLost is the chance that a write takes effect without an answer, StoreLate that it takes effect
	// after its answer was given up, StoreDropped that it has no effect and no answer.
	StoreLost    float64
	StoreLate    float64
	StoreDropped float64
	// StoreDown and StoreSlow are the parts of the time in which the store is down or slow for all hosts.
	StoreDown float64
	StoreSlow float64
	// Cut is the part of the time in which one failure domain can't reach the store.
	Cut float64
	// Deaths is the mean number of deaths of each host in the run.
	Deaths float64
	// Impatient is the chance that a caller sends again before its first sending has ended.
	Impatient float64
}

// window is a time in which a fault holds.
type window struct{ from, to time.Time }

func (w window) holds(now time.Time) bool { return !now.Before(w.from) && now.Before(w.to) }

func anyHolds(list []window, now time.Time) bool {
	for _, w := range list {
		if w.holds(now) {
			return true
		}
	}
	return false
}

// storeState is the fake store that all hosts share.
type storeState struct {
	memory objapi.Memory
	down   []window
	slow   []window
	reads  int
	writes int
}

// storeLink is one host's way to the store.
type storeLink struct {
	world *world
	host  *host
}

// pass waits for the call to arrive; an error says that it did not.
func (s *storeLink) pass() error {
	w := s.world
	delay := time.Duration(500+w.rng.IntN(3000)) * time.Microsecond
	if anyHolds(w.store.slow, w.procs.Now()) {
		delay += time.Duration(w.rng.IntN(700)) * time.Millisecond
	}
	w.procs.sleep(min(delay, storeTimeout))
	switch {
	case s.host.dead:
		return errBroken
	case anyHolds(w.store.down, w.procs.Now()), anyHolds(s.host.cut, w.procs.Now()), delay > storeTimeout:
		return object.ErrUnavailable
	default:
		return nil
	}
}

// Get reads an object.
func (s *storeLink) Get(_ context.Context, key string) (object.Object, error) {
	s.world.store.reads++
	if err := s.pass(); err != nil {
		return object.Object{}, err
	}
	o, err := s.world.store.memory.Get(key)
	s.world.procs.sleep(time.Millisecond)
	return o, err
}

// Put writes an object, with the faults of a write.
func (s *storeLink) Put(_ context.Context, key string, value []byte, expect object.Version) (o object.Object, err error) {
	err = s.write(func() { o, err = s.world.store.memory.Put(key, value, expect) }, &err)
	return o, err
}

// Delete removes an object, with the faults of a write.
func (s *storeLink) Delete(_ context.Context, key string, expect object.Version) (err error) {
	return s.write(func() { err = s.world.store.memory.Delete(key, expect) }, &err)
}

func (s *storeLink) write(change func(), result *error) error {
	w := s.world
	w.store.writes++
	if err := s.pass(); err != nil {
		return err
	}
	fate := w.rng.Float64()
	f := w.faults
	switch {
	case fate < f.StoreLost:
		change()
	case fate < f.StoreLost+f.StoreLate:
		w.procs.loop.After(time.Duration(w.rng.IntN(3000))*time.Millisecond, change)
	case fate < f.StoreLost+f.StoreLate+f.StoreDropped:
	default:
		change()
		w.procs.sleep(time.Millisecond)
		return *result
	}
	w.procs.sleep(storeTimeout)
	return object.ErrUnknown
}

// sender is one host's way to the backend servers; it runs a booking as its fate says.
type sender struct {
	world *world
	host  *host
}

// Send brings about one of the fates of a send.
func (s *sender) Send(_ context.Context, _ netip.AddrPort, c call.Call, o call.SendOptions) call.SendResult {
	w, f := s.world, s.world.faults
	w.sends++
	w.procs.sleep(time.Duration(500+w.rng.IntN(2000)) * time.Microsecond)
	if s.host.dead {
		return call.SendResult{Event: call.EventUnreachable, Err: errBroken}
	}
	fate := w.rng.Float64()
	for _, one := range []struct {
		chance float64
		sent   call.SendResult
	}{
		{f.Unreached, call.SendResult{Event: call.EventUnreachable, Err: errBroken}},
		{f.Refused, call.SendResult{Event: call.EventAnswered, Answer: call.Answer{Status: 503}}},
		{f.LostBefore, call.SendResult{Event: call.EventLost, Err: errBroken}},
	} {
		if fate < one.chance {
			return one.sent
		}
		fate -= one.chance
	}
	return s.run(c, o, fate)
}

func (s *sender) run(c call.Call, o call.SendOptions, fate float64) call.SendResult {
	w, f := s.world, s.world.faults
	took := time.Duration(2+w.rng.IntN(20)) * time.Millisecond
	if w.rng.Float64() < f.Slow {
		took = time.Duration(w.rng.IntN(12000)) * time.Millisecond
	}
	if took > o.Limit {
		// The backend server runs the booking after the host has given up.
		w.procs.loop.After(took, func() { w.ledger[string(c.Body)]++ })
		w.procs.sleep(o.Limit)
		return call.SendResult{Event: call.EventLost, Err: context.DeadlineExceeded}
	}
	w.procs.sleep(took)
	w.ledger[string(c.Body)]++
	if fate < f.LostAfter || s.host.dead {
		return call.SendResult{Event: call.EventLost, Err: errBroken}
	}
	return call.SendResult{Event: call.EventAnswered, Answer: call.Answer{Status: 201, Body: c.Body}}
}

// placer grants every start, on a backend server that has not failed the call.
type placer struct{ rng *rand.Rand }

// Place returns a ticket for one of three backend servers.
func (p placer) Place(_ context.Context, r sched.Request) (sched.Ticket, error) {
	names := [...]string{"server-0", "server-1", "server-2"}
	if len(r.Exclude) == len(names) {
		return nil, refuse.New(refuse.CodeNoBackend, "no backend server is left")
	}
	for {
		name := names[p.rng.IntN(len(names))]
		if !slices.Contains(r.Exclude, name) {
			return ticket{config.Backend{Name: name}}, nil
		}
	}
}

type ticket struct{ backend config.Backend }

// Backend returns the backend server to use.
func (t ticket) Backend() config.Backend { return t.backend }

// Priority returns zero.
func (t ticket) Priority() int { return 0 }

// Progress does nothing.
func (t ticket) Progress(int) {}

// Release does nothing.
func (t ticket) Release(sched.Outcome) {}

// AllFaults returns every fault at once.
func AllFaults() Faults {
	return Faults{
		Unreached: 0.03, Refused: 0.03, LostBefore: 0.02, LostAfter: 0.03, Slow: 0.03,
		StoreLost: 0.03, StoreLate: 0.02, StoreDropped: 0.02, StoreDown: 0.1, StoreSlow: 0.1, Cut: 0.1,
		Deaths: 2, Impatient: 0.15,
	}
}

// PairsOfFaults returns each fault by itself and each pair of faults.
func PairsOfFaults() []Faults {
	kinds := [...]func(*Faults){
		func(f *Faults) { f.Unreached = 0.1 },
		func(f *Faults) { f.Refused = 0.1 },
		func(f *Faults) { f.LostBefore = 0.1 },
		func(f *Faults) { f.LostAfter = 0.1 },
		func(f *Faults) { f.Slow = 0.2 },
		func(f *Faults) { f.StoreLost = 0.1 },
		func(f *Faults) { f.StoreLate = 0.1 },
		func(f *Faults) { f.StoreDropped = 0.1 },
		func(f *Faults) { f.StoreDown = 0.5 },
		func(f *Faults) { f.StoreSlow = 0.5 },
		func(f *Faults) { f.Cut = 0.5 },
		func(f *Faults) { f.Deaths = 2 },
		func(f *Faults) { f.Impatient = 0.5 },
	}
	var list []Faults
	for i, one := range kinds {
		for _, other := range kinds[i:] {
			var f Faults
			one(&f)
			other(&f)
			list = append(list, f)
		}
	}
	return list
}
