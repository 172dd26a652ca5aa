package books

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/idem"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/internal/vtime"
)

// Policy selects how hosts handle bookings.
type Policy int

// The policies compared.
const (
	// Recorded is the product's own policy: hosts keep a record of each idempotency key in the store.
	Recorded Policy = iota
	// Unrecorded keeps no record of a key, so that a caller's resend can run the booking again.
	Unrecorded
	// Retrying retries after any failure and reports every refused call as not run.
	Retrying
)

const (
	callLimit        = 10 * time.Second
	hostDowntime     = 2 * time.Second
	membershipLag    = time.Second
	callerPollPeriod = 10 * time.Millisecond
	arrivalPeriod    = 60 * time.Millisecond
	maxCallerSends   = 8
	domainCount      = 3
)

// Params configures one simulation.
type Params struct {
	Policy   Policy
	Seed     uint64
	Hosts    int
	Bookings int
	Faults   Faults
}

// Figures are the results of one simulation, counted at the callers and the backend servers.
type Figures struct {
	Requests  int
	Completed int
	Refused   int
	// DoubleRuns counts the executions of a booking beyond its first.
	DoubleRuns int
	// FalseNotRun counts refusals that say "not run" for a booking that had run.
	FalseNotRun int
	// WrongAnswers counts answers that belong to another booking.
	WrongAnswers int
	// CallerSends counts requests from callers to hosts, BackendSends those from hosts to backend servers.
	CallerSends  int
	BackendSends int
	StoreReads   int
	StoreWrites  int
}

// host is one process of an entry host; a restarted host has the next incarnation.
type host struct {
	name        string
	domain      int
	incarnation uint64
	dead        bool
	diedAt      time.Time
	// partitions are the windows in which the host's failure domain can't reach the store.
	partitions []window
	runner     *call.Runner
	registry   *idem.Registry
}

// world is the state of one simulation.
type world struct {
	params Params
	faults Faults
	rng    *rand.Rand
	procs  *procs
	store  storeState
	hosts  []*host
	// executions counts the runs of each booking at the backend servers.
	executions   map[string]int
	backendSends int
	attemptCount int
	counts       Figures
}

// Run simulates p.Bookings callers; the same parameters give the same figures.
func Run(p Params) Figures {
	// The virtual time is far ahead of the machine's clock, so that no real timer fires.
	start := time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		params: p, faults: p.Faults,
		rng:        rand.New(rand.NewPCG(p.Seed, 4)),
		procs:      newProcs(vtime.New(start)),
		executions: make(map[string]int),
	}
	duration := time.Duration(p.Bookings) * arrivalPeriod
	w.store.down = w.windows(start, duration, p.Faults.StoreDown)
	w.store.slow = w.windows(start, duration, p.Faults.StoreSlow)
	partitions := make([][]window, domainCount)
	for i := range partitions {
		partitions[i] = w.windows(start, duration, p.Faults.Partitioned)
	}
	for i := range p.Hosts {
		h := &host{name: fmt.Sprintf("entry-%d", i), domain: i % domainCount, partitions: partitions[i%domainCount]}
		w.hosts = append(w.hosts, h)
		w.start(h)
		w.scheduleDeaths(h, duration)
	}
	for i := range p.Bookings {
		w.procs.start(time.Duration(i)*arrivalPeriod, func() { w.runCaller(fmt.Sprintf("booking-%d", i)) })
	}
	w.procs.loop.RunUntil(start.Add(duration + 5*time.Minute))
	return w.total()
}

func (w *world) total() Figures {
	f := w.counts
	f.Requests = w.params.Bookings
	f.BackendSends, f.StoreReads, f.StoreWrites = w.backendSends, w.store.reads, w.store.writes
	for _, runs := range w.executions {
		f.DoubleRuns += max(0, runs-1)
	}
	return f
}

// windows returns random windows of two seconds that together last for a fraction of duration.
func (w *world) windows(start time.Time, duration time.Duration, fraction float64) []window {
	const windowLength = 2 * time.Second
	var list []window
	for range int(fraction * float64(duration) / float64(windowLength)) {
		from := start.Add(time.Duration(w.rng.Int64N(int64(duration))))
		list = append(list, window{from, from.Add(windowLength)})
	}
	return list
}

func (w *world) scheduleDeaths(h *host, duration time.Duration) {
	for range int(w.faults.Deaths + w.rng.Float64()) {
		at := time.Duration(w.rng.Int64N(int64(duration)))
		w.procs.loop.After(at, func() { w.kill(h.name) })
	}
}

func (w *world) kill(name string) {
	for i, h := range w.hosts {
		if h.name != name || h.dead {
			continue
		}
		h.dead, h.diedAt = true, w.procs.Now()
		w.procs.loop.After(hostDowntime, func() {
			restarted := &host{name: h.name, domain: h.domain, partitions: h.partitions, incarnation: h.incarnation + 1}
			w.start(restarted)
			w.hosts[i] = restarted
		})
	}
}

// start gives a host a call.Runner and, with the policy Recorded, a registry of idempotency keys.
func (w *world) start(h *host) {
	h.runner = &call.Runner{
		Placer: placer{w.rng}, Sender: &sender{w, h}, Budget: &budget.Retry{}, Clock: w.procs, Jitter: w.rng.Float64,
	}
	if w.params.Policy != Recorded {
		return
	}
	h.registry = &idem.Registry{
		Store: &storeClient{w, h}, Self: idem.Holder{Host: h.name, Incarnation: h.incarnation},
		IsGone: w.isGone, CallLimit: callLimit, Clock: w.procs, NewAttempt: w.newAttempt,
	}
	h.runner.Idempotency = h.registry
	w.procs.start(time.Second, func() { w.flushPeriodically(h) })
}

func (w *world) flushPeriodically(h *host) {
	for range w.params.Bookings {
		if h.dead {
			return
		}
		h.registry.Flush(context.Background())
		w.procs.sleep(time.Second)
	}
}

func (w *world) newAttempt() string {
	w.attemptCount++
	return fmt.Sprint(w.attemptCount)
}

// isGone reports whether the holder's process has ended, as a membership view that lags by membershipLag shows it.
func (w *world) isGone(holder idem.Holder) bool {
	for _, h := range w.hosts {
		if h.name != holder.Host {
			continue
		}
		return h.incarnation > holder.Incarnation || h.dead && w.procs.Now().Sub(h.diedAt) > membershipLag
	}
	return true
}

// outcome is the result of one request of a caller; done stays false if the host dies.
type outcome struct {
	done   bool
	answer call.Answer
	err    error
}

// runCaller sends a booking until it is answered, at most maxCallerSends times and each time to another host.
func (w *world) runCaller(id string) {
	next := w.rng.IntN(len(w.hosts))
	for try := 1; try <= maxCallerSends; try++ {
		timeout := callLimit + time.Second
		if w.rng.Float64() < w.faults.Impatient {
			timeout = time.Duration(w.rng.IntN(200)) * time.Millisecond
		}
		h := w.nextLiveHost(next)
		next = (next + 1 + w.rng.IntN(len(w.hosts)-1)) % len(w.hosts)
		if h != nil && w.await(w.send(h, id, try == 1), h, id, timeout) {
			w.counts.Completed++
			return
		}
		w.procs.sleep(time.Duration(50+w.rng.IntN(1000*try)) * time.Millisecond)
	}
	w.counts.Refused++
}

// nextLiveHost returns the first live host at or after an index, or nil if all are dead.
func (w *world) nextLiveHost(from int) *host {
	for i := range w.hosts {
		if h := w.hosts[(from+i)%len(w.hosts)]; !h.dead {
			return h
		}
	}
	return nil
}

// send starts the booking at a host and returns at once; the outcome is filled in later.
func (w *world) send(h *host, id string, first bool) *outcome {
	w.counts.CallerSends++
	o := &outcome{}
	c := call.Call{
		Place:  sched.Request{ID: id, Workspace: "club", Service: "club-app"},
		Method: "POST", Path: "/bookings", Body: []byte(id), Key: id, FirstSending: first,
		RefusesBeforeRun: true, Deadline: w.procs.Now().Add(callLimit),
	}
	switch w.params.Policy {
	case Unrecorded:
		c.Key = ""
	case Retrying:
		c.Key, c.Repeatable = "", true
	case Recorded:
	}
	w.procs.start(0, func() {
		o.answer, o.err = h.runner.Run(context.Background(), c)
		o.done = !h.dead
	})
	return o
}

// checkRefusal counts a refusal that says "not run" although the booking has run by the time the caller receives it.
func (w *world) checkRefusal(id string, err error) {
	reported := refuse.From(err).Run
	if w.params.Policy == Retrying {
		reported = refuse.NotRun
	}
	if reported == refuse.NotRun && w.executions[id] > 0 {
		w.counts.FalseNotRun++
	}
}

// await waits until the outcome is there, the host dies or the timeout ends; it reports whether the booking was answered.
func (w *world) await(o *outcome, h *host, id string, timeout time.Duration) bool {
	deadline := w.procs.Now().Add(timeout)
	for !o.done && !h.dead && w.procs.Now().Before(deadline) {
		w.procs.sleep(callerPollPeriod)
	}
	if !o.done {
		return false
	}
	if o.err != nil {
		w.checkRefusal(id, o.err)
		return false
	}
	if string(o.answer.Body) != id {
		w.counts.WrongAnswers++
	}
	return true
}

// Plus returns the sum of f and o, field by field.
func (f Figures) Plus(o Figures) Figures {
	return Figures{
		Requests:     f.Requests + o.Requests,
		Completed:    f.Completed + o.Completed,
		Refused:      f.Refused + o.Refused,
		DoubleRuns:   f.DoubleRuns + o.DoubleRuns,
		FalseNotRun:  f.FalseNotRun + o.FalseNotRun,
		WrongAnswers: f.WrongAnswers + o.WrongAnswers,
		CallerSends:  f.CallerSends + o.CallerSends,
		BackendSends: f.BackendSends + o.BackendSends,
		StoreReads:   f.StoreReads + o.StoreReads,
		StoreWrites:  f.StoreWrites + o.StoreWrites,
	}
}
