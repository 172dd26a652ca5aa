// Package crash knows the requests after which backend servers were dead, and bars them.
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
	// deathsToBar is the number of different backend servers that a request has to leave dead.
	deathsToBar = 2
	// markTTL is how long a mark counts; callers send such a request again within their time limit.
	markTTL = 60 * time.Second
	// maxMarks bounds what one host holds.
	maxMarks = 1024
	// tellFor is how long this host tells the others of a mark.
	tellFor = 4 * time.Second
	// probeDelay lets a crashed process give up its address; probeTimeout is when a silent one counts as dead.
	probeDelay   = 30 * time.Millisecond
	probeTimeout = 700 * time.Millisecond
)

// Mark says that a backend server was dead after it had begun to run a request.
type Mark struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Server      string `cbor:"2,keyasint"`
}

// Table holds the marks. The zero value is ready but for its log; it is safe for concurrent use.
type Table struct {
	Log *slog.Logger

	mu    sync.Mutex
	marks map[Mark]held
}

type held struct {
	at  time.Time
	own bool
}

// IsQuarantined reports whether a request has left too many backend servers dead.
func (t *Table) IsQuarantined(print uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	deaths := 0
	for m, h := range t.marks {
		if m.Fingerprint == print && time.Since(h.at) < markTTL {
			deaths++
		}
	}
	return deaths >= deathsToBar
}

// Probe dials a backend server that broke a connection and records a mark of the request if that fails.
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

func (t *Table) add(m Mark, own bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.marks == nil {
		t.marks = make(map[Mark]held)
	}
	if _, known := t.marks[m]; known {
		return
	}
	now := time.Now()
	for old, h := range t.marks {
		if now.Sub(h.at) > markTTL {
			delete(t.marks, old)
		}
	}
	if len(t.marks) < maxMarks {
		t.marks[m] = held{at: now, own: own}
	}
}

// Own returns the marks that this host has to tell the others of.
func (t *Table) Own() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own []Mark
	for m, h := range t.marks {
		if h.own && time.Since(h.at) < tellFor {
			own = append(own, m)
		}
	}
	return own
}

// Merge takes the marks of another host.
func (t *Table) Merge(marks []Mark) {
	for _, m := range marks {
		t.add(m, false)
	}
}
