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

// Policy is how hosts treat bookings.
type Policy int

// The policies compared.
const (
	// Recorded is the product's own policy.
	Recorded Policy = iota
	// Unrecorded sends each sending once and keeps no record of its key.
	Unrecorded
	// Retrying sends again after any failure and takes a failed connection for a call that did not run.
	Retrying
)

const (
	callLimit     = 10 * time.Second
	downTime      = 2 * time.Second
	membershipLag = time.Second
	callerPoll    = 10 * time.Millisecond
	arrivalPeriod = 60 * time.Millisecond
	maxSendings   = 8
	domains       = 3
)

// Params are the sizes of one run.
type Params struct {
	Policy   Policy
	Seed     uint64
	Hosts    int
	Bookings int
	Faults   Faults
}

// Figures are what callers and the ledger of the backend servers counted.
type Figures struct {
	Requests    int
	Completed   int
	Refused     int
	DoubleRuns  int
	FalseNotRun int
	// WrongAnswers counts answers that belong to another booking.
	WrongAnswers int
	// Sendings counts what callers sent, Sends what hosts sent to backend servers.
	Sendings    int
	Sends       int
	StoreReads  int
	StoreWrites int
}

type host struct {
	name        string
	domain      int
	incarnation uint64
	dead        bool
	diedAt      time.Time
	cut         []window
	runner      *call.Runner
	keeper      *idem.Registry
}

type world struct {
	params Params
	faults Faults
	rng    *rand.Rand
	procs  *procs
	store  storeState
	hosts  []*host
	ledger map[string]int
	sends  int
	serial int
	counts Figures
}

// Run runs the bookings; the same parameters give the same figures.
func Run(p Params) Figures {
	// The loop lies far ahead of the machine's clock, so that no timer of the machine's own fires.
	start := time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		params: p, faults: p.Faults,
		rng:    rand.New(rand.NewPCG(p.Seed, 4)),
		procs:  newProcs(vtime.New(start)),
		ledger: make(map[string]int),
	}
	length := time.Duration(p.Bookings) * arrivalPeriod
	w.store.down = w.windows(start, length, p.Faults.StoreDown)
	w.store.slow = w.windows(start, length, p.Faults.StoreSlow)
	cuts := make([][]window, domains)
	for i := range cuts {
		cuts[i] = w.windows(start, length, p.Faults.Cut)
	}
	for i := range p.Hosts {
		h := &host{name: fmt.Sprintf("entry-%d", i), domain: i % domains, cut: cuts[i%domains]}
		w.hosts = append(w.hosts, h)
		w.boot(h)
		w.planDeaths(h, length)
	}
	for i := range p.Bookings {
		w.procs.start(time.Duration(i)*arrivalPeriod, func() { w.book(fmt.Sprintf("booking-%d", i)) })
	}
	w.procs.loop.RunUntil(start.Add(length + 5*time.Minute))
	return w.total()
}

func (w *world) total() Figures {
	f := w.counts
	f.Requests = w.params.Bookings
	f.Sends, f.StoreReads, f.StoreWrites = w.sends, w.store.reads, w.store.writes
	for _, runs := range w.ledger {
		f.DoubleRuns += max(0, runs-1)
	}
	return f
}

// windows spreads windows of two seconds so that they cover a part of the run.
func (w *world) windows(start time.Time, length time.Duration, part float64) []window {
	const each = 2 * time.Second
	var list []window
	for range int(part * float64(length) / float64(each)) {
		from := start.Add(time.Duration(w.rng.Int64N(int64(length))))
		list = append(list, window{from, from.Add(each)})
	}
	return list
}

func (w *world) planDeaths(h *host, length time.Duration) {
	for range int(w.faults.Deaths + w.rng.Float64()) {
		at := time.Duration(w.rng.Int64N(int64(length)))
		w.procs.loop.After(at, func() { w.kill(h.name) })
	}
}

func (w *world) kill(name string) {
	for i, h := range w.hosts {
		if h.name != name || h.dead {
			continue
		}
		h.dead, h.diedAt = true, w.procs.Now()
		w.procs.loop.After(downTime, func() {
			next := &host{name: h.name, domain: h.domain, cut: h.cut, incarnation: h.incarnation + 1}
			w.boot(next)
			w.hosts[i] = next
		})
	}
}

// boot gives a host the project's own code for calls.
func (w *world) boot(h *host) {
	h.runner = &call.Runner{
		Placer: placer{w.rng}, Sender: &sender{w, h}, Budget: &budget.Retry{}, Clock: w.procs, Jitter: w.rng.Float64,
	}
	if w.params.Policy != Recorded {
		return
	}
	h.keeper = &idem.Registry{
		Store: &storeLink{w, h}, Self: idem.Holder{Host: h.name, Incarnation: h.incarnation},
		IsGone: w.isGone, CallLimit: callLimit, Clock: w.procs, NewAttempt: w.newAttempt,
	}
	h.runner.Idempotency = h.keeper
	w.procs.start(time.Second, func() { w.flush(h) })
}

func (w *world) flush(h *host) {
	for range w.params.Bookings {
		if h.dead {
			return
		}
		h.keeper.Flush(context.Background())
		w.procs.sleep(time.Second)
	}
}

func (w *world) newAttempt() string {
	w.serial++
	return fmt.Sprint(w.serial)
}

// isGone is what a lagging membership says of a holder.
func (w *world) isGone(one idem.Holder) bool {
	for _, h := range w.hosts {
		if h.name != one.Host {
			continue
		}
		return h.incarnation > one.Incarnation || h.dead && w.procs.Now().Sub(h.diedAt) > membershipLag
	}
	return true
}

// outcome is what a caller got from one sending.
type outcome struct {
	done   bool
	answer call.Answer
	err    error
}

// book is one caller: it sends the booking until it has an answer, each time to another host.
func (w *world) book(id string) {
	next := w.rng.IntN(len(w.hosts))
	for sending := 1; sending <= maxSendings; sending++ {
		patience := callLimit + time.Second
		if w.rng.Float64() < w.faults.Impatient {
			patience = time.Duration(w.rng.IntN(200)) * time.Millisecond
		}
		h := w.alive(next)
		next = (next + 1 + w.rng.IntN(len(w.hosts)-1)) % len(w.hosts)
		if h != nil && w.await(w.send(h, id, sending == 1), h, id, patience) {
			w.counts.Completed++
			return
		}
		w.procs.sleep(time.Duration(50+w.rng.IntN(1000*sending)) * time.Millisecond)
	}
	w.counts.Refused++
}

func (w *world) alive(from int) *host {
	for i := range w.hosts {
		if h := w.hosts[(from+i)%len(w.hosts)]; !h.dead {
			return h
		}
	}
	return nil
}

// send gives the booking to a host, whose code runs beside the caller.
func (w *world) send(h *host, id string, first bool) *outcome {
	w.counts.Sendings++
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

// judge holds a refusal against the ledger at the moment at which the caller gets it.
func (w *world) judge(id string, err error) {
	told := refuse.From(err).Run
	if w.params.Policy == Retrying {
		told = refuse.NotRun
	}
	if told == refuse.NotRun && w.ledger[id] > 0 {
		w.counts.FalseNotRun++
	}
}

// await waits for the outcome for as long as the caller has patience and the host lives.
func (w *world) await(o *outcome, h *host, id string, patience time.Duration) bool {
	until := w.procs.Now().Add(patience)
	for !o.done && !h.dead && w.procs.Now().Before(until) {
		w.procs.sleep(callerPoll)
	}
	if !o.done {
		return false
	}
	if o.err != nil {
		w.judge(id, o.err)
		return false
	}
	if string(o.answer.Body) != id {
		w.counts.WrongAnswers++
	}
	return true
}

// Plus returns the sums of two runs' figures.
func (f Figures) Plus(o Figures) Figures {
	return Figures{
		Requests:     f.Requests + o.Requests,
		Completed:    f.Completed + o.Completed,
		Refused:      f.Refused + o.Refused,
		DoubleRuns:   f.DoubleRuns + o.DoubleRuns,
		FalseNotRun:  f.FalseNotRun + o.FalseNotRun,
		WrongAnswers: f.WrongAnswers + o.WrongAnswers,
		Sendings:     f.Sendings + o.Sendings,
		Sends:        f.Sends + o.Sends,
		StoreReads:   f.StoreReads + o.StoreReads,
		StoreWrites:  f.StoreWrites + o.StoreWrites,
	}
}
