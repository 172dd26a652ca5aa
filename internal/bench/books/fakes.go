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

// Faults configures the failures of one simulation. Probabilities and parts of the time are fractions of one.
type Faults struct {
	// These are probabilities for one send to a backend server: no connection, status 503, a connection that breaks
	// before or after the run, a run that may outlast the call's time limit.
	Unreached  float64
	Refused    float64
	LostBefore float64
	LostAfter  float64
	Slow       float64
	// StoreLost is the probability that a write takes effect without an answer, StoreLate that it takes effect at a
	// random time without an answer, StoreDropped that it has no effect and no answer.
	StoreLost    float64
	StoreLate    float64
	StoreDropped float64
	// StoreDown and StoreSlow are the fractions of the time in which the store is down or slow for all hosts.
	StoreDown float64
	StoreSlow float64
	// Partitioned is the fraction of the time in which one failure domain can't reach the store.
	Partitioned float64
	// Deaths is the mean number of crashes of each host.
	Deaths float64
	// Impatient is the probability that a caller gives a request less than 200 ms before it sends it again.
	Impatient float64
}

// window is a period in which a fault is active; it includes from and excludes to.
type window struct{ from, to time.Time }

func (w window) contains(now time.Time) bool { return !now.Before(w.from) && now.Before(w.to) }

func anyContains(list []window, now time.Time) bool {
	for _, w := range list {
		if w.contains(now) {
			return true
		}
	}
	return false
}

// storeState is the fake store that all hosts share, with the windows of its outages.
type storeState struct {
	memory objapi.Memory
	down   []window
	slow   []window
	reads  int
	writes int
}

// storeClient is one host's client of the store.
type storeClient struct {
	world *world
	host  *host
}

// transmit waits for the delay of a call and returns an error if the call does not reach the store.
func (s *storeClient) transmit() error {
	w := s.world
	delay := time.Duration(500+w.rng.IntN(3000)) * time.Microsecond
	if anyContains(w.store.slow, w.procs.Now()) {
		delay += time.Duration(w.rng.IntN(700)) * time.Millisecond
	}
	w.procs.sleep(min(delay, storeTimeout))
	switch {
	case s.host.dead:
		return errBroken
	case anyContains(w.store.down, w.procs.Now()), anyContains(s.host.partitions, w.procs.Now()), delay > storeTimeout:
		return object.ErrUnavailable
	default:
		return nil
	}
}

// Get reads an object.
func (s *storeClient) Get(_ context.Context, key string) (object.Object, error) {
	s.world.store.reads++
	if err := s.transmit(); err != nil {
		return object.Object{}, err
	}
	o, err := s.world.store.memory.Get(key)
	s.world.procs.sleep(time.Millisecond)
	return o, err
}

// Put writes an object; the faults of writes apply.
func (s *storeClient) Put(_ context.Context, key string, value []byte, expect object.Version) (o object.Object, err error) {
	err = s.write(func() { o, err = s.world.store.memory.Put(key, value, expect) }, &err)
	return o, err
}

// Delete removes an object; the faults of writes apply.
func (s *storeClient) Delete(_ context.Context, key string, expect object.Version) (err error) {
	return s.write(func() { err = s.world.store.memory.Delete(key, expect) }, &err)
}

// write calls apply now, later or never, and returns *result or, if the answer is lost, object.ErrUnknown.
func (s *storeClient) write(apply func(), result *error) error {
	w := s.world
	w.store.writes++
	if err := s.transmit(); err != nil {
		return err
	}
	draw := w.rng.Float64()
	f := w.faults
	switch {
	case draw < f.StoreLost:
		apply()
	case draw < f.StoreLost+f.StoreLate:
		w.procs.loop.After(time.Duration(w.rng.IntN(3000))*time.Millisecond, apply)
	case draw < f.StoreLost+f.StoreLate+f.StoreDropped:
	default:
		apply()
		w.procs.sleep(time.Millisecond)
		return *result
	}
	w.procs.sleep(storeTimeout)
	return object.ErrUnknown
}

// sender is one host's client of the backend servers.
type sender struct {
	world *world
	host  *host
}

// Send runs a booking unless a random fault prevents it.
func (s *sender) Send(_ context.Context, _ netip.AddrPort, c call.Call, o call.SendOptions) call.SendResult {
	w, f := s.world, s.world.faults
	w.backendSends++
	w.procs.sleep(time.Duration(500+w.rng.IntN(2000)) * time.Microsecond)
	if s.host.dead {
		return call.SendResult{Event: call.EventUnreachable, Err: errBroken}
	}
	draw := w.rng.Float64()
	for _, fault := range []struct {
		probability float64
		result      call.SendResult
	}{
		{f.Unreached, call.SendResult{Event: call.EventUnreachable, Err: errBroken}},
		{f.Refused, call.SendResult{Event: call.EventAnswered, Answer: call.Answer{Status: 503}}},
		{f.LostBefore, call.SendResult{Event: call.EventLost, Err: errBroken}},
	} {
		if draw < fault.probability {
			return fault.result
		}
		draw -= fault.probability
	}
	return s.run(c, o, draw)
}

// run executes a booking; with a draw below Faults.LostAfter its answer is lost.
func (s *sender) run(c call.Call, o call.SendOptions, draw float64) call.SendResult {
	w, f := s.world, s.world.faults
	duration := time.Duration(2+w.rng.IntN(20)) * time.Millisecond
	if w.rng.Float64() < f.Slow {
		duration = time.Duration(w.rng.IntN(12000)) * time.Millisecond
	}
	if duration > o.Limit {
		// The backend server runs the booking after the host has cancelled the call.
		w.procs.loop.After(duration, func() { w.executions[string(c.Body)]++ })
		w.procs.sleep(o.Limit)
		return call.SendResult{Event: call.EventLost, Err: context.DeadlineExceeded}
	}
	w.procs.sleep(duration)
	w.executions[string(c.Body)]++
	if draw < f.LostAfter || s.host.dead {
		return call.SendResult{Event: call.EventLost, Err: errBroken}
	}
	return call.SendResult{Event: call.EventAnswered, Answer: call.Answer{Status: 201, Body: c.Body}}
}

// placer places every call at once, on a random backend server that the call does not exclude.
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

// AllFaults returns all faults together.
func AllFaults() Faults {
	return Faults{
		Unreached: 0.03, Refused: 0.03, LostBefore: 0.02, LostAfter: 0.03, Slow: 0.03,
		StoreLost: 0.03, StoreLate: 0.02, StoreDropped: 0.02, StoreDown: 0.1, StoreSlow: 0.1, Partitioned: 0.1,
		Deaths: 2, Impatient: 0.15,
	}
}

// PairsOfFaults returns each fault alone and each pair of faults.
func PairsOfFaults() []Faults {
	setters := [...]func(*Faults){
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
		func(f *Faults) { f.Partitioned = 0.5 },
		func(f *Faults) { f.Deaths = 2 },
		func(f *Faults) { f.Impatient = 0.5 },
	}
	var list []Faults
	for i, first := range setters {
		for _, second := range setters[i:] {
			var f Faults
			first(&f)
			second(&f)
			list = append(list, f)
		}
	}
	return list
}
