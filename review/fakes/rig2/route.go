package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["route"] = routeGone }

// routeGone removes a route while requests on it wait for a place at the engine, and counts the channels that end without an answer
// later than lossSlack after the last byte of their requests.
func routeGone(r *rig) error {
	engine, err := startServer("i-7f3a91c2", "127.0.9.100", 2, map[string]work{
		"/long/": {first: 100 * time.Millisecond, gap: 100 * time.Millisecond, events: 17},
		"/gone/": {first: 100 * time.Millisecond, gap: 20 * time.Millisecond, events: 5},
	}, r.rec)
	if err != nil {
		return err
	}
	long, gone, other := streaming("r-long", "/long/", 39000), streaming("r-gone", "/gone/", 39000), streaming("r-other", "/other/", 39000)
	r.store.put("servers", engine.id, engine.entry("huvo11a", "trent-mill"))
	r.store.put("config", "main", manifest(7, 2, long, gone))
	if err := r.startHosts(1); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	// The same load twice: in calm, and around the new version.
	calm := r.roundOfWaiting(nil)
	r.rec.line("in calm: %d of %d channels ended without an answer", calm, waiting)
	changed := r.roundOfWaiting(func() {
		next := manifest(9, 2, long, gone, other)
		if r.hasTrouble {
			next = manifest(9, 2, long, other)
		}
		r.store.put("config", "main", next)
		r.rec.line("operator: manifest 9 is confirmed; the route /gone/ is removed: %t", r.hasTrouble)
	})
	r.rec.line("around the manifest: %d of %d channels ended without an answer", changed, waiting)
	if changed > 3*calm {
		return fmt.Errorf("%w: LOST: %d of %d requests that the host had read ended with their channels, without an answer", errBroken, changed, waiting)
	}
	return nil
}

// waiting is the number of requests that wait in a round.
const waiting = 6

// roundOfWaiting fills the engine with two long streams, sends requests that have to wait, and calls change while they do. It returns
// how many of them ended without an answer later than lossSlack after they were sent.
func (r *rig) roundOfWaiting(change func()) int {
	var all sync.WaitGroup
	to := r.hosts[0].callers
	for range 2 {
		all.Go(func() {
			call{id: newID(), host: hostName, path: "/long/2f", usage: "1460,160", deadline: 39 * time.Second}.do(to, r.rec)
		})
	}
	time.Sleep(500 * time.Millisecond)
	outcomes := make([]outcome, waiting)
	for i := range outcomes {
		all.Go(func() {
			outcomes[i] = call{id: newID(), host: hostName, path: "/gone/2f", usage: "1460,20", deadline: 39 * time.Second}.do(to, r.rec)
		})
	}
	time.Sleep(700 * time.Millisecond)
	if change != nil {
		change()
	}
	all.Wait()
	lost := 0
	for _, o := range outcomes {
		if o.status == 0 && !o.sentAt.IsZero() && o.endedAt.Sub(o.sentAt) > lossSlack {
			lost++
		}
	}
	return lost
}
