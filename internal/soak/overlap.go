package soak

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	// maxOverlap bounds the time in which two backend servers may work on one run.
	maxOverlap = 400 * time.Millisecond
	// harmTime is how long after a fault of a host or its links the guarantee does not hold.
	harmTime = 5 * time.Second
)

// run is a stream that a backend server worked on.
type run struct {
	// server is the backend server's position.
	server int
	// goesOn says that the request resumed a run.
	goesOn bool
	// sentAt is when the host sent the request; began and ended are the times at the backend server.
	sentAt, began, ended time.Time
}

// checkOverlaps returns a description of each stream that went on at a backend server while the one before still worked on it more
// than maxOverlap later, although its host reached that one.
func (s *Soak) checkOverlaps() []string {
	var violations []string
	all := s.runs()
	moved, excused := 0, 0
	var longest, longestAfterCut time.Duration
	for _, id := range slices.Sorted(maps.Keys(all)) {
		runs := all[id]
		host, isKnown := s.owners.of(id)
		if !isKnown {
			continue
		}
		slices.SortFunc(runs, func(a, b run) int { return a.began.Compare(b.began) })
		for i, later := range runs {
			for _, before := range runs[:i] {
				if before.server == later.server || !later.goesOn {
					continue
				}
				moved++
				overlap := before.ended.Sub(later.began)
				longest = max(longest, overlap)
				switch {
				case overlap <= maxOverlap:
				case s.disturbances.wasHarmed(host, later.sentAt.Add(-harmTime), later.began):
					excused++
				case s.serverProxies[before.server].cuts.wasDisturbed(host, later.sentAt, later.began):
					excused++
					longestAfterCut = max(longestAfterCut, before.ended.Sub(s.serverProxies[before.server].cuts.lastEnd(host, before.ended)))
				default:
					violations = append(violations, s.describeOverlap(id, s.hosts[host], before, later))
				}
			}
		}
	}
	fmt.Fprintf(s.Out, "seed %d: %d streams went on elsewhere, %d overlapped too long, %d more while their hosts were harmed; the longest overlap was %s, the longest after a path was back %s\n",
		s.Seed, moved, len(violations), excused, longest.Round(time.Millisecond), longestAfterCut.Round(time.Millisecond))
	return violations
}

// describeOverlap describes two runs at work on one request, with the host's log lines of the request.
func (s *Soak) describeOverlap(id string, h *process, before, later run) string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s of host %s went on at server %s at %s, server %s worked on it from %s to %s, %s longer",
		id, h.settings.Host, s.town.Servers[later.server].ID, clock(later.began), s.town.Servers[before.server].ID,
		clock(before.began), clock(before.ended), before.ended.Sub(later.began).Round(time.Millisecond))
	text, err := os.ReadFile(h.logFile())
	if err != nil {
		fmt.Fprint(&b, ": ", err)
		return b.String()
	}
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, id) {
			b.WriteString("\n      " + strings.TrimSpace(line))
		}
	}
	return b.String()
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }

// runs returns the streams that backend servers worked on, by request ID.
func (s *Soak) runs() map[string][]run {
	all := make(map[string][]run)
	now := time.Now()
	for i, e := range s.town.Servers {
		for _, r := range e.Requests() {
			if r.BeganAt.IsZero() {
				continue
			}
			one := run{server: i, goesOn: r.GoesOn(), sentAt: r.BeganAt, began: r.BeganAt, ended: r.EndedAt}
			if one.ended.IsZero() {
				one.ended = now
			}
			if sentAt, isKnown := s.serverProxies[i].resumeSentAt(r.Attempt()); isKnown && sentAt.Before(one.began) {
				one.sentAt = sentAt
			}
			all[r.Attempt()] = append(all[r.Attempt()], one)
		}
	}
	return all
}
