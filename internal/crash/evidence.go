package crash

import (
	"cmp"
	"iter"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// simultaneous is the time within which crashes count as one: backend servers that stop together may have another cause in
	// common than a key. That of crashesAtOnce under the same new key is the key, as requests with one may come together too.
	simultaneous  = 200 * time.Millisecond
	crashesAtOnce = 4
	// sameCrash is the time within which reports of several hosts on one backend server concern the same crash.
	sameCrash = 1500 * time.Millisecond
	// ageError bounds the error of an age that was sent to another host. Times that differ by less are the same, so that the
	// error does not add up as hosts pass on what they received.
	ageError = time.Second
	// crashesOfNew and crashesOfProven are the crashes since the last answer after which a key is quarantined: one that has
	// never been answered, and one that has. The latter's crashes count only provenSpacing apart, since its answers would
	// have to stop.
	crashesOfNew    = 2
	crashesOfProven = 3
	provenSpacing   = time.Second
	// MaxCrashes is the number of crashes that are kept of one key.
	MaxCrashes = 6
	// maxParts bounds the parts of one request that are keys, so that it can't displace the evidence of others.
	maxParts = 64
	// trialInterval is the time after the last crash or trial from which one request with a quarantined key is sent, and
	// failedInterval that after a trial that crashed its backend server. The hosts' times differ by up to trialSpread
	// intervals, so that few hosts send one before they know of another's.
	trialInterval  = 10 * time.Second
	failedInterval = 4 * time.Minute
	trialSpread    = 5
	// evidenceTTL is how long a crash counts, and an answer that proves a part sound; exoneratedTTL is how long exonerating
	// evidence is kept, so that all hosts receive it.
	evidenceTTL   = 30 * time.Minute
	exoneratedTTL = 5 * time.Second
)

// Keys identify what a request has in common with others: parts of its prompt that others may share, and the whole request,
// which its caller may repeat.
type Keys struct {
	Parts []uint64
	Whole uint64
	// IsWholeShared reports whether many callers send the same request, such as one without a body.
	IsWholeShared bool
}

// NewKeys returns the keys of a request whose prompt has the given parts, in order. The last part belongs to the request
// itself; those after the first maxParts are ignored.
func NewKeys(parts []string, whole uint64) Keys {
	k := Keys{Whole: whole | wholeBit}
	for _, part := range parts[:max(0, len(parts)-1)] {
		if len(k.Parts) == maxParts {
			break
		}
		if key := xxhash.Sum64String(part) &^ wholeBit; !slices.Contains(k.Parts, key) {
			k.Parts = append(k.Parts, key)
		}
	}
	return k
}

func (k Keys) all() iter.Seq[uint64] {
	return func(yield func(uint64) bool) {
		for _, part := range k.Parts {
			if !yield(part) {
				return
			}
		}
		yield(k.Whole)
	}
}

// Crash is a crash of a backend server at the beginning of an answer, or before it.
type Crash struct {
	_ struct{} `cbor:",toarray"`

	Server string
	// StartedMS is when the backend server had started, in Unix milliseconds; 0 if unknown.
	StartedMS int64
	// AgeMS is the time since the crash, in milliseconds, when it was sent to another host.
	AgeMS int64

	at time.Duration
}

// evidence is what is known of one key. Its methods take the time as an argument and do no input or output.
type evidence struct {
	key uint64
	// crashes are sorted by time.
	crashes []Crash
	// answeredAt is when a request with the key was last shown to be sound, triedAt when one was last sent as a trial; zero for
	// never.
	answeredAt time.Duration
	triedAt    time.Duration
	trials     int
	// changedAt is when the evidence last changed.
	changedAt time.Duration
	// isOwn is set once this host has seen a crash under the key.
	isOwn bool
}

// isSame reports whether two reports concern the same crash. A backend server crashes once between two starts, however late
// a host reads a report.
func (c Crash) isSame(o Crash) bool {
	if c.Server != o.Server {
		return false
	}
	return c.StartedMS != 0 && c.StartedMS == o.StartedMS || (c.at-o.at).Abs() < sameCrash
}

// add adds a crash and reports whether it was not known and is kept.
func (e *evidence) add(c Crash) bool {
	if slices.ContainsFunc(e.crashes, c.isSame) {
		return false
	}
	e.crashes = append(e.crashes, c)
	slices.SortFunc(e.crashes, func(a, b Crash) int { return cmp.Compare(a.at, b.at) })
	if len(e.crashes) > MaxCrashes {
		e.dropCrash()
	}
	return slices.ContainsFunc(e.crashes, c.isSame)
}

// dropCrash drops the crash that is closest to the one before it, so that those that remain are as far apart as possible.
// The last one stays, since trials wait for a time after it.
func (e *evidence) dropCrash() {
	closest, gap := 1, e.crashes[1].at-e.crashes[0].at
	for i := 2; i < len(e.crashes)-1; i++ {
		if between := e.crashes[i].at - e.crashes[i-1].at; between < gap {
			closest, gap = i, between
		}
	}
	e.crashes = slices.Delete(e.crashes, closest, closest+1)
}

// compare orders evidence by how much it is needed: that of quarantined keys first, then by crashes, then the
// latest changes.
func compare(a, b *evidence, now time.Duration) int {
	if q, r := a.isQuarantined(now), b.isQuarantined(now); q != r {
		if q {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(b.changedAt, a.changedAt))
}

// servers returns the backend servers that crashed since the last answer.
func (e *evidence) servers() []string {
	var all []string
	for _, c := range e.crashes {
		if c.at > e.answeredAt {
			all = append(all, c.Server)
		}
	}
	return all
}

func (e *evidence) hasAnswered() bool { return e.answeredAt > 0 }

// hasCrashes reports whether there are crashes since the last answer.
func (e *evidence) hasCrashes() bool {
	return len(e.crashes) > 0 && e.lastCrash() > e.answeredAt
}

func (e *evidence) lastCrash() time.Duration {
	if len(e.crashes) == 0 {
		return 0
	}
	return e.crashes[len(e.crashes)-1].at
}

// latest returns when the last crash, answer or trial was.
func (e *evidence) latest() time.Duration { return max(e.lastCrash(), e.answeredAt, e.triedAt) }

// isQuarantined reports whether enough backend servers have crashed under the key since a request with it was last answered.
func (e *evidence) isQuarantined(now time.Duration) bool {
	spacing, needed, atOnce := simultaneous, crashesOfNew, crashesAtOnce
	if e.hasAnswered() && e.lastCrash()-e.answeredAt < evidenceTTL {
		spacing, needed, atOnce = provenSpacing, crashesOfProven, MaxCrashes+1
	}
	// A group is crashes that count as one.
	groups, size, last := 0, 0, time.Duration(0)
	for _, c := range e.crashes {
		if c.at <= e.answeredAt || now-c.at > evidenceTTL {
			continue
		}
		if groups == 0 || c.at-last >= spacing {
			groups, size, last = groups+1, 0, c.at
		}
		size++
		if groups >= needed || size >= atOnce {
			return true
		}
	}
	return false
}

// trialAt returns when a host may send one request with the quarantined key. Hosts do so at different times, and receive
// the trials of others meanwhile.
func (e *evidence) trialAt(host string) time.Duration {
	interval := trialInterval
	if e.trials > 0 && e.lastCrash() >= e.triedAt {
		interval = failedInterval
	}
	hash := xxhash.Sum64String(strconv.FormatUint(e.key, 16) + " " + strconv.Itoa(e.trials) + " " + host)
	const steps = 1 << 16
	return max(e.lastCrash(), e.triedAt) + interval + trialSpread*interval*time.Duration(hash%steps)/steps
}

func (e *evidence) isExpired(now time.Duration) bool {
	if e.hasCrashes() {
		return now-max(e.lastCrash(), e.triedAt) > evidenceTTL
	}
	return now-e.changedAt > exoneratedTTL
}

// merge adds another host's evidence and reports whether other hosts need the result: it is new, or the other host does not
// know of the answer that ended the quarantine.
func (e *evidence) merge(o *evidence) bool {
	isNew := false
	for _, c := range o.crashes {
		if e.add(c) && c.at > e.answeredAt {
			isNew = true
		}
	}
	switch {
	case e.hasCrashes() && o.answeredAt > e.lastCrash():
		e.answeredAt, isNew = o.answeredAt, true
	case o.answeredAt > e.answeredAt+ageError:
		e.answeredAt = o.answeredAt
	}
	if o.trials > e.trials || o.trials == e.trials && o.triedAt > e.triedAt+ageError {
		e.trials, e.triedAt, isNew = o.trials, o.triedAt, true
	}
	return isNew || o.hasCrashes() && !e.hasCrashes()
}
