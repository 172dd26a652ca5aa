package settle

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/mirror"
	"github.com/tarragonspur/tarragonspur/internal/policy"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

// ErrNoMark says that the store holds no record of an era whose table counts.
var ErrNoMark = errors.New("no era of the store has been marked")

const (
	// maxAsked is the number of hosts that are asked in a round. A few may have been cut off for as long as this one.
	maxAsked = 8
	// roundInterval is the pause between two rounds, and markInterval that between two calls to the store.
	roundInterval = 250 * time.Millisecond
	markInterval  = time.Second
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
	// maxRoundDelay bounds the random delay of a host that has a table in force: at a return, all hosts ask at the same time.
	maxRoundDelay = 300 * time.Millisecond
)

// Hosts selects other hosts.
type Hosts interface {
	// OtherHosts returns at most n other hosts, those heard of lately first.
	OtherHosts(n int) []mirror.Host
}

// Marks records in the store that the table of an era counts.
type Marks interface {
	// Load returns the record; ErrNoMark if there is none.
	Load(ctx context.Context) (Mark, error)
	Save(ctx context.Context, m Mark) error
}

// Settler decides whether the store's table counts, and brings the newest table that other hosts have in force. Its exported fields are
// set before Run.
type Settler struct {
	Holder *policy.Holder
	Hosts  Hosts
	Marks  Marks
	// IsReader reports whether this host reads the store itself. Only such hosts call it.
	IsReader func() bool
	// MaxGap is the age of the last confirmation of the table up to which this host has known the newest one until the store went
	// away; 0 means 4 s.
	MaxGap time.Duration
	// Decode decodes a table as the store holds it.
	Decode func(document []byte) (*policy.Table, error)
	Log    *slog.Logger

	mu   sync.Mutex
	core core
	// wake receives a value at each new era.
	wake chan struct{}
}

// Name names the controller in logs.
func (s *Settler) Name() string { return "settle the table" }

// Read takes what the store holds, and reports whether its table counts. A store that names no era has never come back from a copy.
func (s *Settler) Read(r Reading) bool {
	if r.Era == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, inForce := ticks.Now(), s.inForce()
	s.core.maxGap = s.MaxGap
	if s.core.read(r, inForce, now) {
		s.Log.Info("era of the store is not settled", "era", r.Era, "version", r.Version, "in_force", inForce.version, "confirmed_ago", now-inForce.confirmedAt)
		select {
		case s.wakeChannel() <- struct{}{}:
		default:
		}
	}
	return s.isSettled(inForce, now) && r.Era == s.core.era
}

// isSettled decides whether the store's table counts; the caller holds the lock.
func (s *Settler) isSettled(inForce known, now time.Duration) bool {
	wasSettled := s.core.reason != ""
	isSettled := s.core.settled(inForce, now) != ""
	if isSettled && !wasSettled {
		s.Log.Info("era of the store is settled", "era", s.core.era, "version", s.core.stored, "reason", s.core.reason, "after", now-s.core.since)
	}
	return isSettled
}

// wakeChannel returns the channel that receives a value at each new era; the caller holds the lock.
func (s *Settler) wakeChannel() chan struct{} {
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	return s.wake
}

// inForce returns the table in force and when it was confirmed.
func (s *Settler) inForce() known {
	table, confirmedAt := s.Holder.View()
	if table == nil {
		return known{}
	}
	return known{table.Version, confirmedAt}
}

// Run asks other hosts and the store at each new era, until ctx ends.
func (s *Settler) Run(ctx context.Context) error {
	s.mu.Lock()
	wake := s.wakeChannel()
	s.mu.Unlock()
	for {
		select {
		case <-wake:
		case <-ctx.Done():
			return nil
		}
		if s.inForce().version > 0 {
			ticks.Sleep(ctx, rand.N(maxRoundDelay))
		}
		s.mark(ctx, s.settle(ctx))
	}
}

// settle asks until the era is settled, and returns it.
func (s *Settler) settle(ctx context.Context) (era int64) {
	var lookedUpAt time.Duration
	for {
		s.mu.Lock()
		era = s.core.era
		isSettled := s.isSettled(s.inForce(), ticks.Now())
		s.mu.Unlock()
		if isSettled {
			return era
		}
		s.ask(ctx, era)
		if now := ticks.Now(); s.IsReader() && now-lookedUpAt >= markInterval {
			lookedUpAt = now
			s.lookUp(ctx, era)
		}
		if !ticks.Sleep(ctx, roundInterval) {
			return era
		}
	}
}

// ask asks other hosts for the table that they have in force, and puts the newest one in force.
func (s *Settler) ask(ctx context.Context, era int64) {
	hosts := s.Hosts.OtherHosts(maxAsked)
	replies := askAll(ctx, hosts, s.Log)
	if len(replies) > 0 {
		s.adopt(ctx, newest(replies))
	}
	answers := make([]answer, 0, len(replies))
	for _, r := range replies {
		answers = append(answers, r.answer)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.heard(era, len(hosts), answers)
}

// adopt puts the table of another host in force if it is newer than this host's, and takes over when it was confirmed.
func (s *Settler) adopt(ctx context.Context, r reply) {
	if r.version == 0 || r.version < s.inForce().version {
		return
	}
	if r.version > s.inForce().version {
		table, confirmedAt, err := s.fetch(ctx, r.host)
		if err != nil {
			s.Log.Warn("table of another host can't be read", "host", r.host.Name, "version", r.version, "error", err)
			return
		}
		r.confirmedAt = confirmedAt
		if s.Holder.PutIfNewer(table) {
			s.Log.Info("table in force", "version", table.Version, "host", r.host.Name, "age", ticks.Now()-confirmedAt)
		}
	}
	s.Holder.Confirm(r.confirmedAt)
}

// fetch reads the table that another host has in force.
func (s *Settler) fetch(ctx context.Context, host mirror.Host) (*policy.Table, time.Duration, error) {
	r, err := askHost(ctx, host, true)
	if err != nil {
		return nil, 0, err
	}
	table, err := s.Decode(r.document)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "decode table of host %s", host.Name)
	}
	return table, r.confirmedAt, nil
}

// lookUp reads the record in the store.
func (s *Settler) lookUp(ctx context.Context, era int64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, err := s.Marks.Load(ctx)
	if err != nil && !errors.Is(err, ErrNoMark) {
		s.Log.Info("store call failed", "kind", "mark of an era", "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.lookedUp(era, m)
}

// mark records that the table of an era counts, once this host reads the store itself.
func (s *Settler) mark(ctx context.Context, era int64) {
	for {
		s.mu.Lock()
		m, isOver := Mark{Era: era, Version: s.core.stored}, s.core.era != era || s.core.reason == reasonMark
		s.mu.Unlock()
		if isOver {
			return
		}
		if s.IsReader() {
			err := s.save(ctx, m)
			if err == nil {
				return
			}
			s.Log.Info("store call failed", "kind", "mark of an era", "error", err)
		}
		if !ticks.Sleep(ctx, markInterval) {
			return
		}
	}
}

func (s *Settler) save(ctx context.Context, m Mark) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.Marks.Save(ctx, m)
}
