package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["foreign"] = foreignEntries }

const (
	// foreign is the number of entries of another writer, of foreignBytes each; the store takes 1,048,576 for one.
	foreign      = 20
	foreignBytes = 1_000_000
	// recovery is the time after which requests must be served again.
	recovery = 12 * time.Second
)

// foreignEntries has another writer put entries among those of the servers, kills all hosts, starts them again, and compares the requests
// that are served before and later than recovery after that.
func foreignEntries(r *rig) error {
	app, err := startServer("i-5b2e7d10", "127.0.9.100", 6, map[string]work{"/plain/": {first: 20 * time.Millisecond}}, r.rec)
	if err != nil {
		return err
	}
	r.store.put("servers", app.id, app.entry("wuno96b", "trent-mill"))
	r.store.put("config", "main", manifest(7, 32, plain("r-plain", "/plain/")))
	if err := r.startHosts(3); err != nil {
		return err
	}
	time.Sleep(contact)
	if r.hasTrouble {
		for i := range foreign {
			r.store.put("servers", fmt.Sprintf("x-%02d", i), map[string]any{"service": i, "note": strings.Repeat("x", foreignBytes)})
			time.Sleep(20 * time.Millisecond)
		}
		r.rec.line("another writer has put %d entries of %d bytes among those of the servers", foreign, foreignBytes)
	}
	before, sent := r.sendPlain(3 * time.Second)
	r.rec.line("before: %d of %d requests served", before, sent)
	for _, h := range r.hosts {
		h.signal(syscall.SIGKILL)
	}
	r.rec.line("all hosts are killed")
	for _, h := range r.hosts {
		h.kill()
	}
	time.Sleep(time.Second)
	for _, h := range r.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	r.rec.line("all hosts are started again")
	time.Sleep(recovery)
	after, sent := r.sendPlain(10 * time.Second)
	r.rec.line("later than %s after that: %d of %d requests served", recovery, after, sent)
	if before == 0 {
		return fmt.Errorf("nothing was served before")
	}
	if 4*after < sent {
		return fmt.Errorf("%w: RECOVER: %d of %d requests are served later than %s after the hosts are back", errBroken, after, sent, recovery)
	}
	return nil
}

// sendPlain sends requests to all hosts for a time, and returns how many were served and sent.
func (r *rig) sendPlain(d time.Duration) (served, sent int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, h := range r.hosts {
			sent++
			all.Go(func() {
				o := call{id: newID(), host: hostName, path: "/plain/2f", deadline: 4 * time.Second}.do(h.callers, r.rec)
				mu.Lock()
				defer mu.Unlock()
				if o.status == 200 && o.isWhole {
					served++
				}
			})
		}
	}
	all.Wait()
	return served, sent
}
