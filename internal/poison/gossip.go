package poison

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

// Sender queues messages for other hosts.
type Sender interface {
	Send(messages ...peer.Outgoing)
}

// exchangePeriod is the time between two requests for another host's barred fingerprints.
const exchangePeriod = 5 * time.Second

// Gossip broadcasts marks to all hosts and receives theirs. Every exchangePeriod it also asks one host for all its
// barred fingerprints, which brings a new host and one that was unreachable up to date.
type Gossip struct {
	// Self is the name of this host.
	Self  string
	Hosts *board.Hosts
	Out   Sender
	Table *Table
	// Log is nil if nothing is logged.
	Log *slog.Logger
}

// Name names the controller.
func (g *Gossip) Name() string { return "poison" }

// Run asks a random host for its barred fingerprints every exchangePeriod until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	tick := time.NewTicker(exchangePeriod)
	defer tick.Stop()
	for {
		if others := g.others(); len(others) > 0 {
			g.Out.Send(outgoing(others[rand.IntN(len(others))], &peerpb.Quarantine{Ask: true}))
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Marked broadcasts a new mark to all hosts that are not dead in the local view.
func (g *Gossip) Marked(m Mark) {
	g.log("backend server died with a request", "fingerprint", m.Fingerprint, "backend", m.Backend, "age", m.Age, "tokens", m.Tokens)
	g.broadcast(&peerpb.Quarantine{Died: []*peerpb.Suspect{{
		Fingerprint: uint64(m.Fingerprint),
		Backend:     m.Backend,
		AgeMs:       uint32(m.Age.Milliseconds()),
		Tokens:      uint32(m.Tokens),
	}}})
}

// Started broadcasts that a marked fingerprint starts on a backend server.
func (g *Gossip) Started(f Fingerprint, backend string) {
	g.broadcast(&peerpb.Quarantine{Started: []*peerpb.Suspect{{Fingerprint: uint64(f), Backend: backend}}})
}

// Barred broadcasts that a fingerprint is barred, also to hosts that did not receive every mark.
func (g *Gossip) Barred(f Fingerprint) {
	g.log("request barred", "fingerprint", f)
	g.broadcast(&peerpb.Quarantine{Barred: []uint64{uint64(f)}})
}

// Lifted broadcasts that the marks of a fingerprint are cleared.
func (g *Gossip) Lifted(f Fingerprint) {
	g.broadcast(&peerpb.Quarantine{Lifted: []uint64{uint64(f)}})
}

func (g *Gossip) log(message string, args ...any) {
	if g.Log != nil {
		g.Log.Warn(message, args...)
	}
}

func (g *Gossip) broadcast(q *peerpb.Quarantine) {
	for _, name := range g.others() {
		g.Out.Send(outgoing(name, q))
	}
}

func (g *Gossip) others() []string {
	var names []string
	for _, h := range g.Hosts.All() {
		if h.Name != g.Self && h.State != board.HostDead {
			names = append(names, h.Name)
		}
	}
	return names
}

func outgoing(to string, q *peerpb.Quarantine) peer.Outgoing {
	return peer.Outgoing{To: to, Message: message(q)}
}

func message(q *peerpb.Quarantine) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Quarantine{Quarantine: q}}
}

// Receive applies another host's marks, starts and barred fingerprints. It replies with those of the sender's marked
// fingerprints that are barred here, and with all barred ones if the sender asks for them.
func (g *Gossip) Receive(_ context.Context, _ peer.Sender, m *peerpb.Message) []*peerpb.Message {
	q := m.GetQuarantine()
	if q == nil {
		return nil
	}
	var barred []uint64
	for _, s := range q.GetDied() {
		if g.addMark(s) {
			barred = append(barred, s.GetFingerprint())
		}
	}
	for _, s := range q.GetStarted() {
		g.Table.StartedRemotely(Fingerprint(s.GetFingerprint()), s.GetBackend())
	}
	for _, f := range q.GetLifted() {
		g.Table.ClearMarks(Fingerprint(f))
	}
	for _, f := range q.GetBarred() {
		g.Table.Bar(Fingerprint(f))
	}
	if q.GetAsk() {
		for _, f := range g.Table.Barred() {
			barred = append(barred, uint64(f))
		}
	}
	if len(barred) == 0 {
		return nil
	}
	return []*peerpb.Message{message(&peerpb.Quarantine{Barred: barred})}
}

// addMark adds one mark and reports whether its fingerprint is barred.
func (g *Gossip) addMark(s *peerpb.Suspect) bool {
	g.Table.Add(Mark{
		Fingerprint: Fingerprint(s.GetFingerprint()),
		Backend:     s.GetBackend(),
		Age:         time.Duration(s.GetAgeMs()) * time.Millisecond,
		Tokens:      int(s.GetTokens()),
	})
	return g.Table.IsBarred(Fingerprint(s.GetFingerprint()))
}
