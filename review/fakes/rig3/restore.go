package main

import (
	"fmt"
	"time"
)

const (
	// revokeTime is revokeMs of the installations.
	revokeTime = 5 * time.Second
	// away is how long the store is away, and rewriteDelay how long after its return the operator and the engines write again.
	away         = time.Second
	rewriteDelay = 2 * time.Second
)

// restore withdraws a key, and lets the store come back from a copy that still has it while one host is started again.
func restore(w *world) outcome {
	if err := w.begin(3, 1); err != nil {
		return w.unable(err)
	}
	st := w.store
	st.put("config", "main", manifest(1, "k-kept", "k-withdrawn"))
	var engines []*plainEngine
	for i, zone := range []string{"z1", "z3", "z2"} {
		e, err := newPlainEngine(w.rec, st, fmt.Sprintf("127.0.32.%d", i+1), fmt.Sprintf("i-p%d", i+1), "plain", zone)
		if err != nil {
			return w.unable(err)
		}
		engines = append(engines, e)
	}
	if err := w.startHosts(); err != nil {
		return w.unable(err)
	}
	time.Sleep(time.Second)
	sent := 0
	ask := func(h *host, key string) (reply, string) {
		sent++
		name := fmt.Sprintf("r-%d", sent)
		r := send(w.callers(h), "GET", "/read/1", name, key, 2*time.Second, nil, nil)
		w.rec.add("request %s with %s to %s: %s", name, key, h.name, r)
		return r, name
	}
	for _, h := range w.hosts {
		if r, _ := ask(h, "k-withdrawn"); r.status != 200 {
			return w.unable(fmt.Errorf("the key is not accepted before it is withdrawn: %s", r))
		}
	}
	copied, copiedAt := st.copy(), time.Now()
	w.rec.add("copy of the store taken at %s", st)
	time.Sleep(500 * time.Millisecond)
	st.put("config", "main", manifest(2, "k-kept"))
	confirmed := time.Now()
	w.rec.add("manifest 2 without k-withdrawn confirmed")
	time.Sleep(time.Second)
	for _, h := range w.hosts {
		if r, _ := ask(h, "k-withdrawn"); r.status != 401 {
			return w.unable(fmt.Errorf("the key is still accepted a second after it was withdrawn: %s", r))
		}
	}
	target := w.hosts[1]
	time.Sleep(time.Until(confirmed.Add(revokeTime - 500*time.Millisecond)))
	rewritten := make(chan struct{})
	if w.isTrouble {
		st.goAway()
		w.rec.add("store away")
		target.kill()
		w.rec.add("host %s killed", target.name)
		time.Sleep(away / 2)
		if err := target.start(); err != nil {
			return w.unable(err)
		}
		w.rec.add("host %s started", target.name)
		time.Sleep(away / 2)
		st.comeBack(&copied)
		w.rec.add("store back from the copy, %.1f s old: %s", time.Since(copiedAt).Seconds(), st)
	} else {
		time.Sleep(away)
	}
	go func() {
		defer close(rewritten)
		time.Sleep(rewriteDelay)
		if !w.isTrouble {
			return
		}
		for _, e := range engines {
			e.write()
		}
		st.put("config", "main", manifest(2, "k-kept"))
		w.rec.add("engines and operator have written again")
	}()
	var late []string
	names := map[string]time.Time{}
	for isOver := false; !isOver; {
		select {
		case <-rewritten:
			isOver = true
		default:
		}
		for _, h := range w.hosts {
			at := time.Now()
			_, name := ask(h, "k-withdrawn")
			names[name] = at
		}
		time.Sleep(100 * time.Millisecond)
	}
	if r, _ := ask(target, "k-kept"); r.status != 200 {
		w.rec.add("k-kept at the started host: %s", r)
	}
	for name, at := range names {
		for _, e := range engines {
			if _, found := e.ran(name); found && at.Sub(confirmed) > revokeTime {
				late = append(late, name)
				w.rec.add("%s, sent %.3f s after the confirmation of the manifest that took its key away, has run", name, at.Sub(confirmed).Seconds())
			}
		}
	}
	if len(late) > 0 {
		return broken
	}
	return held
}
