package crash

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// MaxReported is the number of keys in one report.
	MaxReported = 24
	// announceFor is how long changed evidence is reported; that of quarantined keys is reported all the time, so that hosts
	// that start or were cut off receive it.
	announceFor = 2 * time.Second
	// maxServerBytes bounds the name of a backend server in another host's evidence, so that reports fit a datagram.
	maxServerBytes = 64
)

// Evidence is what hosts know of one key, with ages in place of times.
type Evidence struct {
	_ struct{} `cbor:",toarray"`

	Key     uint64
	Crashes []Crash
	// AnswerAgeMS is the time since a request with the key was last shown to be sound, TrialAgeMS the time since the last
	// trial, in milliseconds; negative for never.
	AnswerAgeMS int64
	Trials      int
	TrialAgeMS  int64
}

// Report returns the evidence that the other hosts should receive, at most MaxReported keys. Recent changes come first,
// the latest before others; the order is random otherwise, so that each key is reported sooner or later.
func (t *Table) Report() []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.keys) == 0 {
		return nil
	}
	now := t.now()
	t.expire(now)
	var recent, older []*evidence
	for _, e := range t.keys {
		switch {
		case now-e.changedAt < announceFor:
			recent = append(recent, e)
		case e.isQuarantined(now):
			older = append(older, e)
		}
	}
	shuffle(recent)
	shuffle(older)
	// Evidence that has just arrived here may be old news to others.
	slices.SortStableFunc(recent, func(a, b *evidence) int {
		return cmp.Compare(b.latest()/time.Second, a.latest()/time.Second)
	})
	due := slices.Concat(recent, older)
	var all []Evidence
	for _, e := range due[:min(len(due), MaxReported)] {
		all = append(all, e.encode(now))
	}
	return all
}

func shuffle(all []*evidence) {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
}

// Version returns a number that grows with each change of the evidence that other hosts should receive at once.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Quarantined returns the number of quarantined keys.
func (t *Table) Quarantined() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, count := t.now(), 0
	for _, e := range t.keys {
		if e.isQuarantined(now) {
			count++
		}
	}
	return count
}

// Merge adds the evidence of another host.
func (t *Table) Merge(reported []Evidence) {
	if len(reported) == 0 {
		return
	}
	t.mu.Lock()
	now := t.now()
	for _, r := range reported {
		e := t.evidenceOf(r.Key, now)
		wasQuarantined := e.isQuarantined(now)
		if e.merge(r.decode(now)) {
			e.changedAt = now
			if e.hasAnswered() {
				t.remember(e.key, e.answeredAt)
			}
			t.logQuarantine(e, wasQuarantined, now)
			if e.isOwn && !wasQuarantined && e.isQuarantined(now) {
				t.markUnsaved(e.key)
			}
			if wasQuarantined && !e.isQuarantined(now) {
				t.Log.Info("quarantine ends by another host's evidence", "key", e.key, "crashes", len(e.crashes), "trials", e.trials)
			}
		}
	}
	aborted := t.aborted(now)
	t.mu.Unlock()
	for _, abort := range aborted {
		abort()
	}
}

func (e *evidence) encode(now time.Duration) Evidence {
	r := Evidence{Key: e.key, AnswerAgeMS: ageMS(e.answeredAt, now), Trials: e.trials, TrialAgeMS: ageMS(e.triedAt, now)}
	for _, c := range e.crashes {
		r.Crashes = append(r.Crashes, Crash{Server: c.Server, StartedMS: c.StartedMS, AgeMS: ageMS(c.at, now)})
	}
	return r
}

func (r Evidence) decode(now time.Duration) *evidence {
	e := &evidence{key: r.Key, trials: max(0, r.Trials), answeredAt: timeOf(r.AnswerAgeMS, now), triedAt: timeOf(r.TrialAgeMS, now)}
	for _, c := range r.Crashes[:min(len(r.Crashes), MaxCrashes)] {
		if at := timeOf(c.AgeMS, now); at > 0 && len(c.Server) <= maxServerBytes {
			e.crashes = append(e.crashes, Crash{Server: c.Server, StartedMS: c.StartedMS, at: at})
		}
	}
	return e
}

// ageMS returns the time since at, in milliseconds; -1 if at is zero.
func ageMS(at, now time.Duration) int64 {
	if at <= 0 {
		return -1
	}
	return max(0, (now - at).Milliseconds())
}

// timeOf returns the time of an age; zero if the age is negative or exceeds the time since the machine started.
func timeOf(age int64, now time.Duration) time.Duration {
	if age < 0 || age > int64(now/time.Millisecond) {
		return 0
	}
	return now - time.Duration(age)*time.Millisecond
}
