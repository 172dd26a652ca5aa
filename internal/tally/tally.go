// Package tally adds up the loads and counts of many hosts, so that few relays can pass on sums instead of every host
// sending its state to every other one.
package tally

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/budget"
	"github.com/tarragonspur/tarragonspur/internal/pool"
	"github.com/tarragonspur/tarragonspur/internal/queue"
)

// Service holds the counts of one service.
type Service struct {
	budget.SendCounts
	queue.Backlog
}

// Counts is the state of one host, or the sum of several.
type Counts struct {
	// Loads are the loads on backend servers by ID, Services the counts by service.
	Loads    map[string]pool.Load
	Services map[string]Service
	// Hosts is the number of live hosts, Known the number that divided budgets count.
	Hosts int
	Known int
}

// Add adds other counts.
func (c *Counts) Add(o Counts) { c.combine(o, 1) }

// Subtract subtracts other counts.
func (c *Counts) Subtract(o Counts) { c.combine(o, -1) }

func (c *Counts) combine(o Counts, sign int) {
	if c.Loads == nil {
		c.Loads = make(map[string]pool.Load, len(o.Loads))
	}
	for id, l := range o.Loads {
		sum := c.Loads[id]
		sum.Runs += sign * l.Runs
		sum.Tokens += sign * l.Tokens
		sum.PendingPromptTokens += sign * l.PendingPromptTokens
		c.Loads[id] = sum
	}
	if c.Services == nil {
		c.Services = make(map[string]Service, len(o.Services))
	}
	for name, s := range o.Services {
		sum := c.Services[name]
		sum.SendCounts.Arrivals += sign * s.SendCounts.Arrivals
		sum.Retries += sign * s.Retries
		sum.Backlog = sum.Combine(s.Backlog, sign)
		c.Services[name] = sum
	}
	c.Hosts += sign * o.Hosts
	c.Known += sign * o.Known
}

// Sources holds the latest counts of several sources, hosts or sums of hosts. It is not safe for concurrent use.
type Sources struct {
	// MaxAge is the time without news after which a source's loads are dropped; its requests have ended with it.
	MaxAge time.Duration
	// MaxKnownAge is the time after which its hosts no longer count for divided budgets.
	MaxKnownAge time.Duration

	all map[string]source
}

type source struct {
	Counts

	at      time.Time
	listing *Listing
}

// Put replaces the counts of a source.
func (s *Sources) Put(name string, c Counts, now time.Time) {
	if s.all == nil {
		s.all = make(map[string]source)
	}
	s.all[name] = source{Counts: c, at: now}
}

// Listing remembers when a source of partial lists has last listed each load. Its zero value is ready to use.
type Listing struct {
	listed map[string]time.Time
	// since is when the first list arrived after a gap, last when the last one did.
	since time.Time
	last  time.Time
}

// staleAfter is the time without being listed after which a load is gone: a relay lists each within eight of its periods of
// 40 ms, and three such lists are not lost in a row.
const staleAfter = time.Second

// Listed records the loads of a list and returns those that have not been listed for so long that they are gone. A relay does
// not tell the end of a load that only the relay before it has listed.
func (l *Listing) Listed(loads map[string]pool.Load, now time.Time) []string {
	if l.listed == nil {
		l.listed = make(map[string]time.Time)
	}
	if now.Sub(l.last) > staleAfter/2 {
		l.since = now
	}
	l.last = now
	for id, load := range loads {
		if load == (pool.Load{}) {
			delete(l.listed, id)
		} else {
			l.listed[id] = now
		}
	}
	if now.Sub(l.since) <= staleAfter {
		return nil
	}
	var stale []string
	for id, at := range l.listed {
		if now.Sub(at) > staleAfter {
			delete(l.listed, id)
			stale = append(stale, id)
		}
	}
	return stale
}

// Update replaces the listed loads of a source and, if hasCounts is set, its other counts.
func (s *Sources) Update(name string, c Counts, hasCounts bool, now time.Time) {
	before, known := s.all[name]
	if !known || now.Sub(before.at) > s.MaxAge {
		before = source{}
	}
	if before.listing == nil {
		before.listing = &Listing{}
	}
	merged := before.Counts
	if hasCounts {
		merged = c
	}
	merged.Loads = make(map[string]pool.Load, len(before.Loads)+len(c.Loads))
	maps.Copy(merged.Loads, before.Loads)
	for id, l := range c.Loads {
		if l == (pool.Load{}) {
			delete(merged.Loads, id)
		} else {
			merged.Loads[id] = l
		}
	}
	for _, id := range before.listing.Listed(c.Loads, now) {
		delete(merged.Loads, id)
	}
	if s.all == nil {
		s.all = make(map[string]source)
	}
	s.all[name] = source{Counts: merged, at: now, listing: before.listing}
}

// Recent returns the counts of the sources with recent news, by name.
func (s *Sources) Recent(now time.Time) map[string]Counts { return s.within(s.MaxAge, now) }

// RecentlyLost returns the number of sources whose news stopped being recent within a time.
func (s *Sources) RecentlyLost(within time.Duration, now time.Time) int {
	return len(s.within(s.MaxAge+within, now)) - len(s.within(s.MaxAge, now))
}

// Known returns the last counts of the sources that are not forgotten, by name.
func (s *Sources) Known(now time.Time) map[string]Counts { return s.within(s.MaxKnownAge, now) }

func (s *Sources) within(age time.Duration, now time.Time) map[string]Counts {
	counts := make(map[string]Counts, len(s.all))
	for name, c := range s.all {
		if now.Sub(c.at) <= age {
			counts[name] = c.Counts
		}
	}
	return counts
}

// Sum returns the sum of all sources with recent news.
func (s *Sources) Sum(now time.Time) Counts {
	return s.SumOf(func(string) bool { return true }, now)
}

// SumOf returns the sum of those sources with recent news that isIncluded selects by name.
func (s *Sources) SumOf(isIncluded func(name string) bool, now time.Time) Counts {
	var sum Counts
	for name, c := range s.all {
		switch age := now.Sub(c.at); {
		case age <= s.MaxKnownAge && !isIncluded(name):
		case age <= s.MaxAge:
			sum.Add(c.Counts)
		case age <= s.MaxKnownAge:
			sum.Known += c.Known
		default:
			delete(s.all, name)
		}
	}
	return sum
}

// Backlog returns the sum of the requests that wait for a service at all sources with recent news.
func (s *Sources) Backlog(service string, now time.Time) queue.Backlog {
	var sum queue.Backlog
	for _, c := range s.all {
		if now.Sub(c.at) <= s.MaxAge {
			sum = sum.Combine(c.Services[service].Backlog, 1)
		}
	}
	return sum
}

// maxHistory bounds the states that a History keeps.
const maxHistory = 128

// History keeps what this host has sent, so that it can subtract its own part from a sum that includes it.
type History struct {
	sent []sent
}

type sent struct {
	Counts

	sequence uint64
}

// Add records the counts sent with a sequence number, which grows.
func (h *History) Add(sequence uint64, c Counts) {
	if len(h.sent) >= maxHistory {
		h.sent = h.sent[1:]
	}
	h.sent = append(h.sent, sent{Counts: c, sequence: sequence})
}

// At returns the counts sent with a sequence number; false if they are not known.
func (h *History) At(sequence uint64) (Counts, bool) {
	i, found := slices.BinarySearchFunc(h.sent, sequence, func(s sent, sequence uint64) int { return cmp.Compare(s.sequence, sequence) })
	if !found {
		return Counts{}, false
	}
	return h.sent[i].Counts, true
}
