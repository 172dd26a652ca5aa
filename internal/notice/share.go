package notice

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxReported is the number of backend servers in one report.
	MaxReported = 24
	// maxIDBytes bounds the names in another host's report.
	maxIDBytes = 64
	// mergeTolerance is how much later a time of another host must be to count as news: a report that comes back is late by its
	// way.
	mergeTolerance = 100 * time.Millisecond
	// endedReported is how long the end of a limit is reported.
	endedReported = 5 * time.Second
)

// Report is what a host knows of one backend server, with ages in milliseconds in place of times; negative ages mean never.
type Report struct {
	_ struct{} `cbor:",toarray"`

	Server         string
	Service        string
	StartedMS      int64
	Limit          float64
	LimitedAgeMS   int64
	UnlimitedAgeMS int64
	LeavingAgeMS   int64
}

// Report returns what the other hosts should know, at most MaxReported servers, those with the latest news first.
func (t *Table) Report() []Report {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.expire(now)
	var due []*state
	for _, s := range t.servers {
		if s.isLimited() || s.leavingAt > 0 || now-s.newsAt() < endedReported {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *state) int {
		return cmp.Or(cmp.Compare(b.newsAt()/time.Second, a.newsAt()/time.Second), cmp.Compare(a.ID, b.ID))
	})
	var all []Report
	for _, s := range due[:min(len(due), MaxReported)] {
		all = append(all, Report{
			Server: s.ID, Service: s.Service, StartedMS: s.StartedMS, Limit: s.limit,
			LimitedAgeMS: ageMS(s.limitedAt, now), UnlimitedAgeMS: ageMS(s.unlimitedAt, now), LeavingAgeMS: ageMS(s.leavingAt, now),
		})
	}
	return all
}

// Merge applies another host's report.
func (t *Table) Merge(host string, reports []Report) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	now := t.now()
	version := t.version
	for _, r := range reports[:min(len(reports), MaxReported)] {
		if r.Server == "" || len(r.Server) > maxIDBytes || len(r.Service) > maxIDBytes || !(r.Limit >= 0) {
			continue
		}
		s := t.state(Server{ID: r.Server, Service: r.Service, StartedMS: r.StartedMS}, true, now)
		if s == nil {
			continue
		}
		before, limit := s.isLimited(), s.limit
		if at := timeOf(r.LimitedAgeMS, now); r.Limit >= minLimit && (at > s.limitedAt+mergeTolerance || s.limitedAt == 0) {
			s.limit, s.limitedAt = min(r.Limit, maxLimit), at
		}
		if at := timeOf(r.LeavingAgeMS, now); at > 0 {
			t.leaves(s, at, host)
		}
		if at := timeOf(r.UnlimitedAgeMS, now); at > s.unlimitedAt+mergeTolerance {
			s.unlimitedAt = at
		}
		t.logLimit(s, before, limit, host)
	}
	isChanged := t.version != version
	t.mu.Unlock()
	if isChanged && t.OnChange != nil {
		t.OnChange()
	}
}

// Version returns a number that grows with each change that is to be broadcast without delay.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

func ageMS(at, now time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (now - at).Milliseconds()
}

// timeOf returns the time of an age; 0 for never.
func timeOf(ageMS int64, now time.Duration) time.Duration {
	if ageMS < 0 || ageMS > now.Milliseconds() {
		return 0
	}
	return now - time.Duration(ageMS)*time.Millisecond
}
