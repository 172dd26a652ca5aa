package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// drainTime is drainTimeoutMs of the installations.
const drainTime = 2500 * time.Millisecond

// leaveAfter is how long after the report of its leaving an engine exits.
const leaveAfter = drainTime + 500*time.Millisecond

// backups are the standby copies that engines hold of each other's runs.
type backups struct {
	mu sync.Mutex
	// held has the copies by the address of their engine and the run's Attempt-Id, as Kv-From names them.
	held map[string]bool
}

func (b *backups) add(address, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[address+"/"+id] = true
}

// take uses up the copy that a Kv-From header names.
func (b *backups) take(from string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isHeld := b.held[from]
	delete(b.held, from)
	return isHeld
}

// drain writes that the engine is about to leave.
func (e *modelEngine) drain() {
	e.store.put("servers", e.id, map[string]any{
		"service": "model", "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": 32,
		"state": "draining", "coldRemainingMs": 0, "sequence": 2, "born": e.born, "stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
	e.rec.add("engine %s reports that it is draining", e.id)
}

// closeAtEnd closes a channel once its caller has closed it, as many HTTP servers do. The run goes on.
func (e *modelEngine) closeAtEnd(c net.Conn, id string) {
	if _, err := io.Copy(io.Discard, c); err == nil {
		e.rec.add("engine %s sees the end of the channel of %s and closes it", e.id, id)
	}
	_ = c.Close()
}

// exit ends the engine's process: all its runs, its channels and its port.
func (e *modelEngine) exit() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, run := range e.runs {
		run.once.Do(func() { close(run.stop) })
	}
	e.store.remove("servers", e.id)
	e.rec.add("engine %s exits", e.id)
}

// leave lets an engine leave while it works on a stream that another engine has a standby copy of.
func leave(w *world) outcome {
	if err := w.begin(2, 0); err != nil {
		return w.unable(err)
	}
	w.store.put("config", "main", manifest(1, "k1"))
	copies := &backups{held: map[string]bool{}}
	var engines []*modelEngine
	for i, zone := range []string{"z1", "z3", "z2"} {
		e, err := newModelEngine(w.rec, w.store, fmt.Sprintf("127.0.32.%d", i+1), fmt.Sprintf("i-m%d", i+1), zone, 150*time.Millisecond)
		if err != nil {
			return w.unable(err)
		}
		e.backups = copies
		engines = append(engines, e)
	}
	if err := w.startHosts(); err != nil {
		return w.unable(err)
	}
	// Both hosts are in touch.
	time.Sleep(5 * time.Second)
	var leaving sync.WaitGroup
	leaving.Go(func() {
		time.Sleep(2 * time.Second)
		for _, e := range engines {
			if w.isTrouble && e.hasRuns() {
				e.drain()
				time.Sleep(leaveAfter)
				e.exit()
				return
			}
		}
	})
	r := send(w.callers(w.hosts[0]), "POST", "/report/1", "report-1", "k1", 39*time.Second,
		[]string{"Model: m", "Token-Usage: 100,200", "Prefix-Hash: aa:60,bb:40", "Length-Hint: 200"}, []byte("report"))
	w.rec.add("consumer: %s, %d events", r, strings.Count(r.body, "\ndata: "))
	leaving.Wait()
	most, text := overlap(engines, "report-1")
	if most > maxOverlap {
		w.rec.add("%s", text)
		return broken
	}
	return held
}
