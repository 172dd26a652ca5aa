// Package survey collects the state of all entry hosts for an operator.
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

// Transport delivers messages to a peer and returns its responses.
type Transport interface {
	Deliver(ctx context.Context, addr netip.AddrPort, messages []*peerpb.Message) ([]*peerpb.Message, error)
}

// Status is the state of one host.
type Status struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
	// Reached is false if the host did not answer; the fields below are empty then.
	Reached bool           `json:"reached"`
	Version change.Version `json:"version"`
	// AgeS is the time in seconds since the host last confirmed that Version is the newest one; nil means never.
	AgeS     *float64 `json:"age_s"`
	Active   int      `json:"active"`
	Ready    bool     `json:"ready"`
	Draining bool     `json:"draining"`
	// Forked says that the host has seen a configuration history that conflicts with its own.
	Forked bool `json:"forked"`
}

// Step is one decision of a host on a request.
type Step struct {
	Host string `json:"host"`
	board.Decision
}

// Explanation lists the decisions of all hosts on one request, by time.
type Explanation struct {
	Steps []Step `json:"steps"`
	// Unreached lists the names of the hosts that did not answer.
	Unreached []string `json:"unreached"`
}

// Survey queries the state of all hosts and answers the queries of other hosts.
type Survey struct {
	Self      string
	Domain    string
	Board     *board.Board
	Transport Transport
	// Forked reports whether this host has seen a configuration history that conflicts with its own; nil means never.
	Forked func() bool
}

// Receive answers the queries of other hosts, and returns nil for other messages.
func (s *Survey) Receive(ctx context.Context, _ peer.Sender, m *peerpb.Message) []*peerpb.Message {
	switch {
	case m.GetHostStatusAsk() != nil:
		request := m.GetHostStatusAsk()
		list := []*peerpb.HostStatus{s.localStatus(time.Now(), request.GetUsage())}
		if request.GetWholeDomain() {
			list = append(list, s.domainStatuses(ctx, request.GetUsage())...)
		}
		return statusMessages(list)
	case m.GetExplainAsk() != nil:
		e := s.localDecisions(m.GetExplainAsk().GetRequest())
		if m.GetExplainAsk().GetWholeDomain() {
			merge(e, s.domainDecisions(ctx, m.GetExplainAsk().GetRequest()))
		}
		return []*peerpb.Message{{Body: &peerpb.Message_Explain{Explain: e}}}
	default:
		return nil
	}
}

// statusMessages wraps each status in a message.
func statusMessages(list []*peerpb.HostStatus) []*peerpb.Message {
	out := make([]*peerpb.Message, 0, len(list))
	for _, h := range list {
		out = append(out, &peerpb.Message{Body: &peerpb.Message_HostStatus{HostStatus: h}})
	}
	return out
}

// localStatus returns the state of this host, with its use by row if usage is set.
func (s *Survey) localStatus(now time.Time, usage bool) *peerpb.HostStatus {
	h := &peerpb.HostStatus{
		Host: s.Self, Domain: s.Domain,
		Version:  uint64(s.Board.Config.State().Version),
		Active:   uint32(max(0, s.Board.Process.Active())),
		Ready:    s.Board.Process.IsReady(),
		Draining: s.Board.Process.IsDraining(),
		Forked:   s.Forked != nil && s.Forked(),
	}
	if usage {
		h.Rows = s.localRows(now)
	}
	if at := s.Board.Config.Confirmed(); !at.IsZero() {
		h.Confirmed = true
		h.AgeMs = uint64(max(0, now.Sub(at).Milliseconds()))
	}
	return h
}

// localDecisions returns the decisions of this host on a request.
func (s *Survey) localDecisions(request string) *peerpb.Explain {
	e := &peerpb.Explain{}
	for _, d := range s.Board.Decisions.ForRequest(request) {
		e.Decisions = append(e.Decisions, &peerpb.Decision{
			AtUnixNano: d.At.UnixNano(), Step: d.Step, Backend: d.Backend, Reason: d.Reason, Host: s.Self,
		})
	}
	return e
}

// Status returns the states of all hosts, sorted by failure domain and name. It queries each host of the own failure
// domain, and one host of each other failure domain for all hosts there.
func (s *Survey) Status(ctx context.Context) []Status {
	statuses := s.hostStatuses(ctx, false)
	list := make([]Status, 0, len(statuses))
	for _, h := range statuses {
		list = append(list, statusOf(h))
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(strings.Compare(a.Domain, b.Domain), strings.Compare(a.Host, b.Host))
	})
	return list
}

// hostStatuses returns the states of all hosts in no particular order.
func (s *Survey) hostStatuses(ctx context.Context, usage bool) []*peerpb.HostStatus {
	statuses := append([]*peerpb.HostStatus{s.localStatus(time.Now(), usage)}, s.domainStatuses(ctx, usage)...)
	for _, r := range s.queryDomains(ctx, statusRequest(true, usage)) {
		if r.err != nil {
			statuses = append(statuses, unreachedStatus(r.host))
		}
		statuses = append(statuses, statusesOf(r.messages)...)
	}
	return statuses
}

func statusRequest(wholeDomain, usage bool) *peerpb.Message {
	ask := &peerpb.HostStatusAsk{WholeDomain: wholeDomain, Usage: usage}
	return &peerpb.Message{Body: &peerpb.Message_HostStatusAsk{HostStatusAsk: ask}}
}

// domainStatuses returns the states of the other hosts of the own failure domain.
func (s *Survey) domainStatuses(ctx context.Context, usage bool) []*peerpb.HostStatus {
	var list []*peerpb.HostStatus
	for _, r := range s.queryHosts(ctx, s.domainPeers(), statusRequest(false, usage)) {
		if r.err != nil {
			list = append(list, unreachedStatus(r.host))
		}
		list = append(list, statusesOf(r.messages)...)
	}
	return list
}

func statusesOf(messages []*peerpb.Message) []*peerpb.HostStatus {
	var list []*peerpb.HostStatus
	for _, m := range messages {
		if h := m.GetHostStatus(); h != nil {
			list = append(list, h)
		}
	}
	return list
}

func unreachedStatus(h board.Host) *peerpb.HostStatus {
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

// Explain returns the decisions of all hosts on a request; it queries them in the same way as Status.
func (s *Survey) Explain(ctx context.Context, request string) Explanation {
	merged := s.localDecisions(request)
	merge(merged, s.domainDecisions(ctx, request))
	for _, r := range s.queryDomains(ctx, explainRequest(request, true)) {
		merge(merged, decisionsOf(r))
	}
	e := Explanation{Steps: stepsOf(request, merged), Unreached: append([]string{}, merged.GetUnreached()...)}
	slices.SortStableFunc(e.Steps, func(a, b Step) int { return a.At.Compare(b.At) })
	slices.Sort(e.Unreached)
	return e
}

func explainRequest(request string, wholeDomain bool) *peerpb.Message {
	ask := &peerpb.ExplainAsk{Request: request, WholeDomain: wholeDomain}
	return &peerpb.Message{Body: &peerpb.Message_ExplainAsk{ExplainAsk: ask}}
}

// domainDecisions returns the decisions of the other hosts of the own failure domain.
func (s *Survey) domainDecisions(ctx context.Context, request string) *peerpb.Explain {
	merged := &peerpb.Explain{}
	for _, r := range s.queryHosts(ctx, s.domainPeers(), explainRequest(request, false)) {
		merge(merged, decisionsOf(r))
	}
	return merged
}

func decisionsOf(r reply) *peerpb.Explain {
	merged := &peerpb.Explain{}
	if r.err != nil {
		merged.Unreached = []string{r.host.Name}
	}
	for _, m := range r.messages {
		merge(merged, m.GetExplain())
	}
	return merged
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
