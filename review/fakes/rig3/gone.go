package main

import (
	"fmt"
	"time"
)

// drainTime is drainTimeoutMs of the installations.
const drainTime = 2500 * time.Millisecond

// drain writes that the engine is about to leave.
func (e *modelEngine) drain() {
	e.store.put("servers", e.id, map[string]any{
		"service": "model", "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": 32,
		"state": "draining", "coldRemainingMs": 0, "sequence": 2, "born": e.born, "stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
	e.rec.add("engine %s reports that it is draining", e.id)
}

// gone spoils the answer of a leaving engine that takes no more channels and goes on with the runs that it has.
func gone(w *world) outcome {
	if err := w.begin(2, 0); err != nil {
		return w.unable(err)
	}
	w.store.put("config", "main", manifest(1, "k1"))
	var engines []*modelEngine
	for i, zone := range []string{"z1", "z3", "z2"} {
		e, err := newModelEngine(w.rec, w.store, fmt.Sprintf("127.0.32.%d", i+1), fmt.Sprintf("i-m%d", i+1), zone, 150*time.Millisecond)
		if err != nil {
			return w.unable(err)
		}
		engines = append(engines, e)
	}
	if err := w.startHosts(); err != nil {
		return w.unable(err)
	}
	// Both hosts are in touch.
	time.Sleep(5 * time.Second)
	for _, e := range engines {
		if w.isTrouble {
			e.spoilAt.Store(30)
		}
		e.onSpoil = func() {
			for _, other := range engines {
				other.spoilAt.Store(0)
			}
		}
	}
	go func() {
		time.Sleep(time.Second)
		for _, e := range engines {
			if e.hasRuns() {
				e.drain()
				time.Sleep(drainTime + 200*time.Millisecond)
				_ = e.listener.Close()
				w.rec.add("engine %s listens no more and goes on with what it has", e.id)
				return
			}
		}
	}()
	r := send(w.callers(w.hosts[0]), "POST", "/note/1", "note-1", "k1", 20*time.Second,
		[]string{"Model: m", "Token-Usage: 100,240", "Prefix-Hash: aa:60,bb:40", "Length-Hint: 40"}, []byte("classify"))
	w.rec.add("consumer: %s, %d bytes", r, len(r.body))
	time.Sleep(5 * time.Second)
	most, text := overlap(engines, "note-1")
	if most > maxOverlap {
		w.rec.add("%s", text)
		return broken
	}
	return held
}
