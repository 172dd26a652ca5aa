package main

import (
	"fmt"
	"net"
	"time"
)

// maxOverlap is the time for which a request may be at work at two engines.
const maxOverlap = 400 * time.Millisecond

// occupy takes, as other callers of the engine, all channels that it still accepts, and gives them back after a time.
func (e *modelEngine) occupy(d time.Duration) {
	var taken []net.Conn
	defer func() {
		for _, c := range taken {
			_ = c.Close()
		}
		e.rec.add("other callers have given the channels to engine %s back", e.id)
	}()
	for range maxChannels - e.channels.Load() {
		c, err := net.Dial("tcp", e.listener.Addr().String())
		if err != nil {
			e.rec.add("error: %v", err)
			return
		}
		taken = append(taken, c)
	}
	e.rec.add("other callers have %d channels to engine %s, which has %d and accepts no more", len(taken), e.id, maxChannels)
	time.Sleep(d)
}

// twice spoils the answer of an engine that has all the channels that it accepts, and goes on with the run.
func twice(w *world) outcome {
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
			e.spoilAt.Store(10)
		}
		e.onSpoil = func() {
			for _, other := range engines {
				other.spoilAt.Store(0)
			}
		}
	}
	go func() {
		// The engine that has the run has all the channels that it accepts from its eighth event on, for three seconds.
		time.Sleep(1400 * time.Millisecond)
		for _, e := range engines {
			if e.hasRuns() {
				e.occupy(3 * time.Second)
				return
			}
		}
	}()
	r := send(w.callers(w.hosts[0]), "POST", "/note/1", "note-1", "k1", 20*time.Second,
		[]string{"Model: m", "Token-Usage: 100,160", "Prefix-Hash: aa:60,bb:40", "Length-Hint: 40"}, []byte("classify"))
	w.rec.add("consumer: %s, %d bytes", r, len(r.body))
	time.Sleep(6 * time.Second)
	most, text := overlap(engines, "note-1")
	if most > maxOverlap {
		w.rec.add("%s", text)
		return broken
	}
	return held
}
