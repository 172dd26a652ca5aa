package canary

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Stratum is a set of requests that are compared with each other: of one version on one route, at servers with similar load.
type Stratum struct {
	// Route is the hash of the route's name.
	Route uint32
	// IsNew says that the order's target ran the requests, IsLoaded that more than half of the server's slots were in use.
	IsNew    bool
	IsLoaded bool
}

// RouteHash returns the number that stands for a route's name between hosts.
func RouteHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) } //nolint:gosec // the low half is enough

// Counts are the outcomes of a stratum since the order. They never decrease.
type Counts struct {
	// Sent counts the requests that were sent, Answers those answered as a whole, Failures the answers that report a failure, Breaks
	// those that ended before their end.
	Sent, Answers, Failures, Breaks int
	// Timed counts the answers whose speed could be compared, Slow those that were slow.
	Timed, Slow int
}

func (c *Counts) add(o Counts) {
	c.Sent += o.Sent
	c.Answers += o.Answers
	c.Failures += o.Failures
	c.Breaks += o.Breaks
	c.Timed += o.Timed
	c.Slow += o.Slow
}

func (c *Counts) raise(o Counts) {
	c.Sent = max(c.Sent, o.Sent)
	c.Answers = max(c.Answers, o.Answers)
	c.Failures = max(c.Failures, o.Failures)
	c.Breaks = max(c.Breaks, o.Breaks)
	c.Timed = max(c.Timed, o.Timed)
	c.Slow = max(c.Slow, o.Slow)
}

// since returns the counts added since earlier ones. A sum can fall for a moment when other hosts take part in it.
func (c Counts) since(o Counts) Counts {
	return Counts{
		Sent: max(0, c.Sent-o.Sent), Answers: max(0, c.Answers-o.Answers), Failures: max(0, c.Failures-o.Failures),
		Breaks: max(0, c.Breaks-o.Breaks), Timed: max(0, c.Timed-o.Timed), Slow: max(0, c.Slow-o.Slow),
	}
}

// Evidence is what one host, or several, have seen since the order.
type Evidence struct {
	// Arrivals counts the requests that reached the service.
	Arrivals int
	// BadServers has a bit for each server of the target, by hash, that gave failures or slow answers.
	BadServers uint64
	Strata     map[Stratum]Counts
}

func (e *Evidence) add(o Evidence) {
	e.Arrivals += o.Arrivals
	e.BadServers |= o.BadServers
	for k, c := range o.Strata {
		sum := e.stratum(k)
		sum.add(c)
		e.Strata[k] = sum
	}
}

func (e *Evidence) raise(o Evidence) {
	e.Arrivals = max(e.Arrivals, o.Arrivals)
	e.BadServers |= o.BadServers
	for k, c := range o.Strata {
		sum := e.stratum(k)
		sum.raise(c)
		e.Strata[k] = sum
	}
}

func (e *Evidence) stratum(k Stratum) Counts {
	if e.Strata == nil {
		e.Strata = make(map[Stratum]Counts)
	}
	return e.Strata[k]
}

// since returns the evidence added since an earlier state.
func (e Evidence) since(o Evidence) Evidence {
	d := Evidence{Arrivals: max(0, e.Arrivals-o.Arrivals), BadServers: e.BadServers, Strata: make(map[Stratum]Counts, len(e.Strata))}
	for k, c := range e.Strata {
		d.Strata[k] = c.since(o.Strata[k])
	}
	return d
}

// version returns the sum over the strata of one version.
func (e Evidence) version(isNew bool) Counts {
	var sum Counts
	for k, c := range e.Strata {
		if k.IsNew == isNew {
			sum.add(c)
		}
	}
	return sum
}

// routes returns the sums over load by route: of the old version and of the new one.
func (e Evidence) routes() map[uint32][2]Counts {
	all := make(map[uint32][2]Counts)
	for k, c := range e.Strata {
		both := all[k.Route]
		if k.IsNew {
			both[1].add(c)
		} else {
			both[0].add(c)
		}
		all[k.Route] = both
	}
	return all
}

func (e Evidence) badServers() int { return bits.OnesCount64(e.BadServers) }

func (e Evidence) clone() Evidence {
	e.Strata = maps.Clone(e.Strata)
	return e
}

// Report is what hosts send each other about an order: the order itself, how far it is, and the evidence by source.
type Report struct {
	Name       string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Target     string `cbor:"3,keyasint"`
	DurationMS int64  `cbor:"4,keyasint"`
	// Base lists the versions that served before the order.
	Base []string `cbor:"5,keyasint,omitempty"`
	// AgeMS is the time since a host first saw the order.
	AgeMS int64 `cbor:"6,keyasint,omitempty"`
	// Step is the step of the share, and Verdict the state that a host has decided on or read; Unset for none.
	Step    int      `cbor:"7,keyasint,omitempty"`
	Verdict State    `cbor:"8,keyasint,omitempty"`
	Sources []Source `cbor:"9,keyasint,omitempty"`
	// Revision is the order's revision as the sender knows it.
	Revision int64 `cbor:"10,keyasint,omitempty"`
}

// Source is the evidence of one host's lifetime, or the sum over a failure domain.
type Source struct {
	Domain string `cbor:"1,keyasint,omitempty"`
	// Host and Incarnation identify a host's lifetime; Host is empty for a sum.
	Host        string `cbor:"2,keyasint,omitempty"`
	Incarnation int64  `cbor:"3,keyasint,omitempty"`
	Arrivals    int    `cbor:"4,keyasint,omitempty"`
	BadServers  uint64 `cbor:"5,keyasint,omitempty"`
	Rows        []Row  `cbor:"6,keyasint,omitempty"`
}

// Row is an encoded stratum with its counts.
type Row struct {
	_ struct{} `cbor:",toarray"`

	Route uint32
	// Kind is the sum of newRow and loadedRow where they apply.
	Kind                                         uint8
	Sent, Answers, Failures, Breaks, Timed, Slow int
}

// The bits of Row.Kind.
const (
	newRow    = 1
	loadedRow = 2
)

// maxRows bounds the rows of one source, so that a report fits a datagram.
const maxRows = 96

func (e Evidence) source(domain, host string, incarnation int64) Source {
	s := Source{Domain: domain, Host: host, Incarnation: incarnation, Arrivals: e.Arrivals, BadServers: e.BadServers}
	for k, c := range e.Strata {
		r := Row{Route: k.Route, Sent: c.Sent, Answers: c.Answers, Failures: c.Failures, Breaks: c.Breaks, Timed: c.Timed, Slow: c.Slow}
		if k.IsNew {
			r.Kind |= newRow
		}
		if k.IsLoaded {
			r.Kind |= loadedRow
		}
		s.Rows = append(s.Rows, r)
	}
	slices.SortFunc(s.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Sent, a.Sent), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Kind, b.Kind))
	})
	s.Rows = s.Rows[:min(len(s.Rows), maxRows)]
	return s
}

func (s Source) evidence() Evidence {
	e := Evidence{Arrivals: s.Arrivals, BadServers: s.BadServers, Strata: make(map[Stratum]Counts, len(s.Rows))}
	for _, r := range s.Rows {
		k := Stratum{Route: r.Route, IsNew: r.Kind&newRow != 0, IsLoaded: r.Kind&loadedRow != 0}
		e.Strata[k] = Counts{Sent: r.Sent, Answers: r.Answers, Failures: r.Failures, Breaks: r.Breaks, Timed: r.Timed, Slow: r.Slow}
	}
	return e
}

// sourceKey identifies a source; host is empty for the sum over a failure domain.
type sourceKey struct {
	domain, host string
	incarnation  int64
}

// ledger holds the latest evidence of all sources. Counts only grow, so that reports may come late, twice or in any order. What a host
// that has ended has reported stays: its sends have happened.
type ledger struct {
	sources map[sourceKey]Evidence
}

// maxSources bounds the sources of one order: 300 hosts, restarts included.
const maxSources = 1024

func (l *ledger) raise(k sourceKey, e Evidence) {
	if l.sources == nil {
		l.sources = make(map[sourceKey]Evidence)
	}
	known, found := l.sources[k]
	if !found && len(l.sources) >= maxSources {
		return
	}
	known.raise(e)
	l.sources[k] = known
}

// domains returns the evidence by failure domain: what its hosts have reported to this one or a relay's sum over them, whichever
// counts more.
func (l *ledger) domains() map[string]Evidence {
	all := make(map[string]Evidence)
	for k, e := range l.sources {
		if k.host != "" {
			sum := all[k.domain]
			sum.add(e)
			all[k.domain] = sum
		}
	}
	for k, e := range l.sources {
		if k.host == "" {
			sum := all[k.domain]
			sum.raise(e)
			all[k.domain] = sum
		}
	}
	return all
}

func (l *ledger) total() Evidence {
	sum := Evidence{Strata: make(map[Stratum]Counts)}
	for _, e := range l.domains() {
		sum.add(e)
	}
	return sum
}
