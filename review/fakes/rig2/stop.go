package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopLate }

// stopLate stops the hosts of a zone one after the other, as for a roll-out of the system, while consumers send short streams, and
// counts the streams that were sent later than 3 s after the SIGTERM of their host and that it cut.
func stopLate(r *rig) error {
	const noteEvents = 3
	engine, err := startServer("i-7f3a91c2", "127.0.9.100", 300, map[string]work{
		"/long/": {first: 300 * time.Millisecond, gap: 150 * time.Millisecond, events: 200},
		"/note/": {first: 500 * time.Millisecond, gap: 40 * time.Millisecond, events: noteEvents, preempted: 2500 * time.Millisecond},
	}, r.rec)
	if err != nil {
		return err
	}
	notes := streaming("r-note", "/note/", 6000)
	notes["targetLatencyMs"], notes["priority"] = 1500, 0
	r.store.put("servers", engine.id, engine.entry("huvo11a", "trent-mill"))
	r.store.put("config", "main", manifest(7, 300, streaming("r-long", "/long/", 39000), notes))
	if err := r.startHosts(3); err != nil {
		return err
	}
	platform := startBalancer(r.hosts, r.rec)
	// Consumers of long reports; they keep the hosts that stop at work.
	for _, h := range r.hosts {
		go call{id: newID(), host: hostName, path: "/long/2f", usage: "300,800", deadline: 39 * time.Second}.do(h.callers, r.rec)
	}
	time.Sleep(contact + time.Second)

	var mu sync.Mutex
	stopped := map[*host]time.Time{}
	go func() {
		for _, h := range r.hosts[:2] {
			if r.hasTrouble {
				mu.Lock()
				stopped[h] = time.Now()
				mu.Unlock()
				r.rec.line("platform: SIGTERM to %s", h.name)
				h.signal(syscall.SIGTERM)
				go func() {
					_, ended := h.process()
					select {
					case <-ended:
						r.rec.line("%s has ended", h.name)
					case <-time.After(grace):
						r.rec.line("platform: SIGKILL to %s", h.name)
						h.signal(syscall.SIGKILL)
					}
				}()
			}
			time.Sleep(1300 * time.Millisecond)
		}
	}()
	var all sync.WaitGroup
	sent, late, lost := 0, 0, 0
	for end := time.Now().Add(grace + 2*time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		h := platform.choose()
		all.Go(func() {
			o := call{id: newID(), host: hostName, path: "/note/2f", usage: "300,12", deadline: 6 * time.Second}.do(h.callers, r.rec)
			mu.Lock()
			defer mu.Unlock()
			at, isStopping := stopped[h]
			sent++
			if o.sentAt.IsZero() || !isStopping || o.sentAt.Sub(at) <= 3*time.Second {
				return
			}
			late++
			if o.endedAt.Sub(o.sentAt) > lossSlack && !o.isWhole && engine.ran(o.id) > 0 {
				lost++
				r.rec.line("LOST: %s, sent to %s %.1f s after its SIGTERM, was cut after %d of %d events", o.id, h.name, o.sentAt.Sub(at).Seconds(), o.events, noteEvents)
			}
		})
	}
	all.Wait()
	r.rec.line("%d short streams were sent, %d of them later than 3 s after the SIGTERM of their host; %d of these were cut", sent, late, lost)
	if r.hasTrouble && late == 0 {
		return fmt.Errorf("no stream came late")
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST: %d of %d streams that were sent later than 3 s after the SIGTERM of their host were cut", errBroken, lost, late)
	}
	return nil
}
