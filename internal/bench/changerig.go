package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/commit"
	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/vtime"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	changeRegionDelay      = 500 * time.Microsecond
	changeCrossRegionDelay = 20 * time.Millisecond
	changeStoreDelay       = 2 * time.Millisecond
	maxSlowStoreDelay      = 400 * time.Millisecond
	messageLossRate        = 0.01
	answerLossRate         = 0.1
	staleRate              = 0.3
	hostRestartPeriod      = 15 * time.Second
	hostRestartDuration    = time.Second
	submitTimeout          = 10 * time.Second
	commitRetryPause       = 200 * time.Millisecond
	submitRetryPause       = 5 * time.Second
	staleVersions          = 3
	// changeContacts is the number of hosts of each other failure domain in a host's local view.
	changeContacts = 3
)

// period is a part of the run in which a fault is active.
type period struct{ from, to time.Duration }

func (p period) contains(at time.Duration) bool { return at >= p.from && at < p.to }

// changeFaults holds the period of each fault.
type changeFaults struct {
	slow, stale, down, downAgain, partitioned period
	// lostNotifications drops half of the notifications of the watches without ending the watches.
	lostNotifications period
}

// changeRig simulates hosts with the product's code, a network with delay and loss, and a store with faults.
type changeRig struct {
	policy string
	loop   *vtime.Loop
	begin  time.Time
	rand   *rand.Rand
	faults changeFaults
	memory *objapi.Memory
	hosts  []*changeHost
	byName map[string]*changeHost

	submissions []*submission
	accepted    []acceptance
	reverts     int
	calls       int
	bytes       int
	messages    int
}

func newChangeRig(policy string, seed uint64, hosts int) *changeRig {
	begin := time.Unix(1_700_000_000, 0)
	g := &changeRig{
		policy: policy, begin: begin, loop: vtime.New(begin), memory: &objapi.Memory{},
		rand:   rand.New(rand.NewPCG(seed, uint64(hosts))),
		byName: make(map[string]*changeHost),
		faults: changeFaults{
			slow:              period{20 * time.Second, 80 * time.Second},
			stale:             period{60 * time.Second, 140 * time.Second},
			down:              period{150 * time.Second, 210 * time.Second},
			partitioned:       period{230 * time.Second, 290 * time.Second},
			downAgain:         period{310 * time.Second, 330 * time.Second},
			lostNotifications: period{340 * time.Second, 380 * time.Second},
		},
	}
	domains := []string{"cordoba", "salta", "neuquen"}
	for i := range hosts {
		h := &changeHost{rig: g, name: fmt.Sprintf("entry-%d", i), domain: domains[i%len(domains)]}
		g.hosts = append(g.hosts, h)
		g.byName[h.name] = h
	}
	return g
}

func (g *changeRig) elapsed() time.Duration { return g.loop.Now().Sub(g.begin) }

func (g *changeRig) isDown() bool {
	return g.faults.down.contains(g.elapsed()) || g.faults.downAgain.contains(g.elapsed())
}

// isPartitioned reports whether a failure domain can't reach the store.
func (g *changeRig) isPartitioned(domain string) bool {
	return domain == "salta" && g.faults.partitioned.contains(g.elapsed())
}

func (g *changeRig) start() {
	for _, h := range g.hosts {
		h.start()
	}
	g.loop.After(hostRestartPeriod, g.restartHost)
	g.loop.After(g.faults.downAgain.to-time.Millisecond, g.rollBackStore)
}

func (g *changeRig) restartHost() {
	h := g.hosts[g.rand.IntN(len(g.hosts))]
	h.core = nil
	h.stoppedAt = append(h.stoppedAt, g.loop.Now())
	g.loop.After(hostRestartDuration, h.start)
	g.loop.After(hostRestartPeriod, g.restartHost)
}

// rollBackStore deletes the last two accepted changes from the store.
func (g *changeRig) rollBackStore() {
	for i := range 2 {
		v := g.newestVersion() - change.Version(i)
		if o, err := g.memory.Get(change.Key(v)); err == nil {
			_ = g.memory.Delete(change.Key(v), o.Version)
		}
	}
}

func (g *changeRig) newestVersion() change.Version {
	if len(g.accepted) == 0 {
		return 0
	}
	return g.accepted[len(g.accepted)-1].version
}

func (g *changeRig) storeDelay() time.Duration {
	if !g.faults.slow.contains(g.elapsed()) {
		return changeStoreDelay
	}
	return changeStoreDelay + time.Duration(g.rand.Int64N(int64(maxSlowStoreDelay)))
}

// call runs f at the store and then done at the host, each after the store's delay. If the host can't reach the store,
// f doesn't run and done receives object.ErrUnavailable.
func (g *changeRig) call(h *changeHost, f func(s *changeStore) error, done func(error)) {
	delay := g.storeDelay()
	core := h.core
	if core == nil {
		return
	}
	answer := func(err error) {
		if h.core == core {
			done(err)
		}
	}
	g.loop.After(delay, func() {
		if g.isDown() || g.isPartitioned(h.domain) {
			g.calls++
			g.loop.After(delay, func() { answer(object.ErrUnavailable) })
			return
		}
		s := &changeStore{memory: g.memory, loop: g.loop, rig: g}
		if g.faults.stale.contains(g.elapsed()) && g.rand.Float64() < staleRate {
			s.stale = true
		}
		err := f(s)
		g.calls += s.calls
		g.loop.After(delay, func() { answer(err) })
	})
}

// send delivers messages to other hosts and counts them; messageLossRate of them are lost.
func (g *changeRig) send(from *changeHost, messages []peer.Outgoing) {
	if g.policy != PolicyOwn {
		return
	}
	for _, m := range messages {
		to := g.byName[m.To]
		g.messages++
		size := proto.Size(m.Message)
		g.bytes += size
		from.sent += size
		if to == nil || g.rand.Float64() < messageLossRate {
			continue
		}
		g.loop.After(g.delay(from, to), func() { to.receive(from, m.Message) })
	}
}

func (g *changeRig) delay(a, b *changeHost) time.Duration {
	if (a.domain == "neuquen") != (b.domain == "neuquen") {
		return changeCrossRegionDelay
	}
	return changeRegionDelay
}

// submit submits one change through a host, as an operator would.
func (g *changeRig) submit(i int) {
	s := &submission{number: i, id: fmt.Sprintf("change-%d", i)}
	g.submissions = append(g.submissions, s)
	g.try(s)
}

// handleAnswer records the outcome that an operator received; unless the change was accepted, the operator tries again.
func (g *changeRig) handleAnswer(s *submission, o commit.Outcome) {
	s.answers++
	s.outcome = o
	s.done = o == commit.OutcomeAccepted
	if !s.done {
		g.loop.After(submitRetryPause, func() { g.try(s) })
	}
}

// try submits a change through a random host, and again if it isn't answered in time.
func (g *changeRig) try(s *submission) {
	i := s.number
	s.tries++
	tries := s.tries
	g.loop.After(submitTimeout+submitRetryPause, func() {
		if !s.done && s.tries == tries {
			s.answers++
			g.try(s)
		}
	})
	h := g.hosts[g.rand.IntN(len(g.hosts))]
	if h.core == nil || !h.ready {
		g.handleAnswer(s, commit.OutcomeNotAccepted)
		return
	}
	row := config.Row{Workspace: fmt.Sprintf("club-%d", i%7), Service: "modelo", Weight: float64(i + 1), Lend: true}
	edit := func(change.State) ([]change.Edit, error) { return []change.Edit{{To: &change.Item{Row: &row}}}, nil }
	h.commit(s, commit.Request{ID: s.id, Operator: "ana", Edit: edit}, g.loop.Now().Add(submitTimeout))
}
