// Package crash tracks requests that backend servers died of, and quarantines them.
package crash

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// deathsToQuarantine is the number of different backend servers that must die of a request before it is quarantined.
	deathsToQuarantine = 2
	// markTTL is how long a mark counts. It covers the time within which callers retry such a request.
	markTTL = 60 * time.Second
	// maxMarks bounds the marks that one host keeps.
	maxMarks = 1024
	// announceFor is how long this host announces a new mark to the others.
	announceFor = 4 * time.Second
	// probeDelay is the time for a crashed process to release its port; probeTimeout is when an unresponsive backend server
	// counts as dead.
	probeDelay   = 30 * time.Millisecond
	probeTimeout = 700 * time.Millisecond
)

// Mark records that a backend server died after it had begun to run a request.
type Mark struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Server      string `cbor:"2,keyasint"`
}

// Table holds the marks. Only Log must be set; it is safe for concurrent use.
type Table struct {
	Log *slog.Logger

	mu    sync.Mutex
	marks map[Mark]entry
}

type entry struct {
	recordedAt time.Time
	isOwn      bool
}

// IsQuarantined reports whether too many backend servers died of a request.
func (t *Table) IsQuarantined(print uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	deaths := 0
	for m, h := range t.marks {
		if m.Fingerprint == print && time.Since(h.recordedAt) < markTTL {
			deaths++
		}
	}
	return deaths >= deathsToQuarantine
}

// Probe dials a backend server that broke a connection and records a mark of the request if it can't connect.
func (t *Table) Probe(ctx context.Context, print uint64, server string, address netip.AddrPort) {
	if !ticks.Sleep(ctx, probeDelay) {
		return
	}
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err == nil {
		_ = conn.Close()
		return
	}
	t.Log.Info("backend server dead after a request", "server", server, "address", address, "fingerprint", print, "error", err)
	t.add(Mark{Fingerprint: print, Server: server}, true)
}

func (t *Table) add(m Mark, isOwn bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.marks == nil {
		t.marks = make(map[Mark]entry)
	}
	if _, exists := t.marks[m]; exists {
		return
	}
	now := time.Now()
	for old, h := range t.marks {
		if now.Sub(h.recordedAt) > markTTL {
			delete(t.marks, old)
		}
	}
	if len(t.marks) < maxMarks {
		t.marks[m] = entry{recordedAt: now, isOwn: isOwn}
	}
}

// Own returns the marks of this host that are to be announced to the others.
func (t *Table) Own() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own []Mark
	for m, h := range t.marks {
		if h.isOwn && time.Since(h.recordedAt) < announceFor {
			own = append(own, m)
		}
	}
	return own
}

// Recent returns the marks of all hosts that were added lately, for a relay to pass on.
func (t *Table) Recent() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recent []Mark
	for m, h := range t.marks {
		if time.Since(h.recordedAt) < announceFor {
			recent = append(recent, m)
		}
	}
	return recent
}

// Merge adds the marks of another host.
func (t *Table) Merge(marks []Mark) {
	for _, m := range marks {
		t.add(m, false)
	}
}
