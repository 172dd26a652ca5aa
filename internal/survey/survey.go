// Package survey asks all entry hosts for their state on behalf of an operator.
package survey

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

// Transport delivers messages to a peer and returns its answers.
type Transport interface {
	Deliver(ctx context.Context, addr netip.AddrPort, messages []*peerpb.Message) ([]*peerpb.Message, error)
}

// Status is the state of one host.
type Status struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
	// Reached is false when the host could not be asked; the other fields are empty then.
	Reached bool           `json:"reached"`
	Version change.Version `json:"version"`
	// AgeS is the time in seconds since the version was known to be the newest one; nil means never.
	AgeS     *float64 `json:"age_s"`
	Active   int      `json:"active"`
	Ready    bool     `json:"ready"`
	Draining bool     `json:"draining"`
	// Forked says that the host saw a history that contradicts its own.
	Forked bool `json:"forked"`
}

// Step is a decision that one host made on a request.
type Step struct {
	Host string `json:"host"`
	board.Decision
}

// Explanation is what the hosts decided on one request.
type Explanation struct {
	Steps []Step `json:"steps"`
	// Unreached names the hosts that could not be asked.
	Unreached []string `json:"unreached"`
}

// Survey asks hosts and answers the surveys of others.
type Survey struct {
	Self      string
	Domain    string
	Board     *board.Board
	Transport Transport
	// Forked reports whether this host saw a history that contradicts its own; nil means never.
	Forked func() bool
}

// Receive answers the surveys of other hosts.
func (s *Survey) Receive(ctx context.Context, _ peer.Sender, m *peerpb.Message) []*peerpb.Message {
	switch {
	case m.GetHostStatusAsk() != nil:
		ask := m.GetHostStatusAsk()
		list := []*peerpb.HostStatus{s.own(time.Now(), ask.GetUsage())}
		if ask.GetWholeDomain() {
			list = append(list, s.statusOfDomain(ctx, ask.GetUsage())...)
		}
		return statusMessages(list)
	case m.GetExplainAsk() != nil:
		e := s.explain(m.GetExplainAsk().GetRequest())
		if m.GetExplainAsk().GetWholeDomain() {
			merge(e, s.explainDomain(ctx, m.GetExplainAsk().GetRequest()))
		}
		return []*peerpb.Message{{Body: &peerpb.Message_Explain{Explain: e}}}
	default:
		return nil
	}
}

func statusMessages(list []*peerpb.HostStatus) []*peerpb.Message {
	out := make([]*peerpb.Message, 0, len(list))
	for _, h := range list {
		out = append(out, &peerpb.Message{Body: &peerpb.Message_HostStatus{HostStatus: h}})
	}
	return out
}

func (s *Survey) own(now time.Time, usage bool) *peerpb.HostStatus {
	h := &peerpb.HostStatus{
		Host: s.Self, Domain: s.Domain,
		Version:  uint64(s.Board.Config.State().Version),
		Active:   uint32(max(0, s.Board.Process.Active())),
		Ready:    s.Board.Process.IsReady(),
		Draining: s.Board.Process.IsDraining(),
		Forked:   s.Forked != nil && s.Forked(),
	}
	if usage {
		h.Rows = s.rows(now)
	}
	if at := s.Board.Config.Confirmed(); !at.IsZero() {
		h.Confirmed = true
		h.AgeMs = uint64(max(0, now.Sub(at).Milliseconds()))
	}
	return h
}

func (s *Survey) explain(request string) *peerpb.Explain {
	e := &peerpb.Explain{}
	for _, d := range s.Board.Decisions.ForRequest(request) {
		e.Decisions = append(e.Decisions, &peerpb.Decision{
			AtUnixNano: d.At.UnixNano(), Step: d.Step, Backend: d.Backend, Reason: d.Reason, Host: s.Self,
		})
	}
	return e
}

// Status returns the states of all hosts, sorted by failure domain and name. It asks the hosts of the own
// failure domain, and one known host of each other failure domain for the hosts there.
func (s *Survey) Status(ctx context.Context) []Status {
	all := s.all(ctx, false)
	list := make([]Status, 0, len(all))
	for _, h := range all {
		list = append(list, statusOf(h))
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(strings.Compare(a.Domain, b.Domain), strings.Compare(a.Host, b.Host))
	})
	return list
}

func (s *Survey) all(ctx context.Context, usage bool) []*peerpb.HostStatus {
	all := append([]*peerpb.HostStatus{s.own(time.Now(), usage)}, s.statusOfDomain(ctx, usage)...)
	for _, r := range s.askDomains(ctx, statusAsk(true, usage)) {
		if r.err != nil {
			all = append(all, unreached(r.host))
		}
		all = append(all, statusesIn(r.answers)...)
	}
	return all
}

func statusAsk(whole, usage bool) *peerpb.Message {
	ask := &peerpb.HostStatusAsk{WholeDomain: whole, Usage: usage}
	return &peerpb.Message{Body: &peerpb.Message_HostStatusAsk{HostStatusAsk: ask}}
}

// statusOfDomain asks the other hosts of the own failure domain.
func (s *Survey) statusOfDomain(ctx context.Context, usage bool) []*peerpb.HostStatus {
	var list []*peerpb.HostStatus
	for _, r := range s.askEach(ctx, s.near(), statusAsk(false, usage)) {
		if r.err != nil {
			list = append(list, unreached(r.host))
		}
		list = append(list, statusesIn(r.answers)...)
	}
	return list
}

func statusesIn(answers []*peerpb.Message) []*peerpb.HostStatus {
	var list []*peerpb.HostStatus
	for _, m := range answers {
		if h := m.GetHostStatus(); h != nil {
			list = append(list, h)
		}
	}
	return list
}

func unreached(h board.Host) *peerpb.HostStatus {
	return &peerpb.HostStatus{Host: h.Name, Domain: h.Domain, Unreached: true}
}

func statusOf(h *peerpb.HostStatus) Status {
	s := Status{
		Host: h.GetHost(), Domain: h.GetDomain(), Reached: !h.GetUnreached(),
		Version: change.Version(h.GetVersion()),
		Active:  int(h.GetActive()), Ready: h.GetReady(), Draining: h.GetDraining(), Forked: h.GetForked(),
	}
	if h.GetConfirmed() {
		age := (time.Duration(h.GetAgeMs()) * time.Millisecond).Seconds()
		s.AgeS = &age
	}
	return s
}

// Explain asks all hosts what they decided on a request, in the same way as Status.
func (s *Survey) Explain(ctx context.Context, request string) Explanation {
	sum := s.explain(request)
	merge(sum, s.explainDomain(ctx, request))
	for _, r := range s.askDomains(ctx, explainAsk(request, true)) {
		merge(sum, explainIn(r))
	}
	e := Explanation{Steps: stepsOf(request, sum), Unreached: append([]string{}, sum.GetUnreached()...)}
	slices.SortStableFunc(e.Steps, func(a, b Step) int { return a.At.Compare(b.At) })
	slices.Sort(e.Unreached)
	return e
}

func explainAsk(request string, whole bool) *peerpb.Message {
	ask := &peerpb.ExplainAsk{Request: request, WholeDomain: whole}
	return &peerpb.Message{Body: &peerpb.Message_ExplainAsk{ExplainAsk: ask}}
}

// explainDomain asks the other hosts of the own failure domain.
func (s *Survey) explainDomain(ctx context.Context, request string) *peerpb.Explain {
	sum := &peerpb.Explain{}
	for _, r := range s.askEach(ctx, s.near(), explainAsk(request, false)) {
		merge(sum, explainIn(r))
	}
	return sum
}

func explainIn(r asked) *peerpb.Explain {
	sum := &peerpb.Explain{}
	if r.err != nil {
		sum.Unreached = []string{r.host.Name}
	}
	for _, m := range r.answers {
		merge(sum, m.GetExplain())
	}
	return sum
}

func merge(into, from *peerpb.Explain) {
	into.Decisions = append(into.Decisions, from.GetDecisions()...)
	into.Unreached = append(into.Unreached, from.GetUnreached()...)
}

func stepsOf(request string, e *peerpb.Explain) []Step {
	steps := []Step{}
	for _, d := range e.GetDecisions() {
		steps = append(steps, Step{Host: d.GetHost(), Decision: board.Decision{
			Request: request,
			At:      time.Unix(0, d.GetAtUnixNano()).UTC(),
			Step:    d.GetStep(),
			Backend: d.GetBackend(),
			Reason:  d.GetReason(),
		}})
	}
	return steps
}
