package main

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	contactTime = 4 * time.Second
	// deadlyPart is the second part of the tainted prompts; the first one is shared with sound requests.
	deadlyPart = "bad0c0de"
	soundPart  = "5c1e07a2"
	// crashesNeeded is the crash from which the rule counts, maxLater the number of requests that may reach engines later than contactTime
	// after it.
	crashesNeeded = 5
	maxLater      = 3
	waveSize      = 6
	// killDowntime is the time from the kill of all hosts to their start, that of the standard days.
	killDowntime = time.Second
)

// tainted is a case with prompts that hold a part under which engines crash.
type tainted struct {
	r *rig
	// isTainted is unset in runs without the disruption: the prompts hold a sound part instead.
	isTainted bool
	sent      int
}

// newTainted starts a deployment with 12 engines and sound reports.
func newTainted(ctx context.Context, r *rig, isTainted, afterFirstEvent bool) (*tainted, func(), error) {
	template := &server{
		service: "assay-model", slots: 32, prefill: 250 * time.Millisecond, gap: reportGap, deadlyPart: deadlyPart, afterFirstEvent: afterFirstEvent,
		downtime: 3 * time.Second,
	}
	if err := r.addServers(12, template); err != nil {
		return nil, nil, err
	}
	r.putTable()
	if err := r.startAll(); err != nil {
		return nil, nil, err
	}
	r.checkReadiness(ctx)
	sending, stopSending := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		every(sending, 2*reportInterval, func(n int) {
			r.report(ctx, r.pick(zoneOf(n), n), fmt.Sprintf("%s:79,%x:721", soundPart, 0x100000+n))
		})
	}()
	time.Sleep(5 * time.Second)
	return &tainted{r: r, isTainted: isTainted}, func() {
		stopSending()
		<-ended
	}, nil
}

func zoneOf(n int) string { return []string{"trent-mill", "soar-lab", "severn-yard"}[n%3] }

func (r *rig) report(ctx context.Context, h *host, prefix string) *attempt {
	return r.call(ctx, h, reportPath, "write a report", 39*time.Second, map[string]string{
		"Model": "m", "Token-Usage": "800,600", "Length-Hint": strconv.Itoa(reportEvents * 4), "Prefix-Hash": prefix, "Rig-Events": strconv.Itoa(reportEvents),
	})
}

// send sends one request with the deadly part; no two are alike.
func (t *tainted) send(ctx context.Context, n int) {
	part := deadlyPart
	if !t.isTainted {
		part = "600dc0de"
	}
	a := t.r.report(ctx, t.r.pick(zoneOf(n), n), fmt.Sprintf("%s:79,%s:200,%x:521", soundPart, part, 0xa00000+n))
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	a.isTainted = true
	t.r.log("request %s with the part %s at %s: %s", a.id, part, a.host.name, a.outcome())
}

// wave sends waveSize requests one after the other at an interval.
func (t *tainted) wave(ctx context.Context, interval time.Duration) {
	var calls sync.WaitGroup
	for range waveSize {
		t.sent++
		n := t.sent
		calls.Add(1)
		go func() {
			defer calls.Done()
			t.send(ctx, n)
		}()
		time.Sleep(interval)
	}
	calls.Wait()
}

// runBatch sends two batches of tainted requests, 6 s apart; the requests of a batch crash their engines within 200 ms.
func runBatch(r *rig, hasTrouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t, stop, err := newTainted(ctx, r, hasTrouble, false)
	if err != nil {
		return false, err
	}
	for range 2 {
		r.log("a batch of %d requests", waveSize)
		t.wave(ctx, 25*time.Millisecond)
		time.Sleep(contactTime + 2*time.Second)
	}
	stop()
	return r.judgeTainted(), nil
}

// runFirstEvent sends tainted requests one by one; engines crash after they have written an answer's first event.
func runFirstEvent(r *rig, hasTrouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t, stop, err := newTainted(ctx, r, hasTrouble, true)
	if err != nil {
		return false, err
	}
	var calls sync.WaitGroup
	for n := range 24 {
		calls.Add(1)
		go func() {
			defer calls.Done()
			t.send(ctx, n)
		}()
		time.Sleep(1500 * time.Millisecond)
	}
	calls.Wait()
	stop()
	return r.judgeTainted(), nil
}

// runKill sends waves of tainted requests, so that their part is quarantined, kills all hosts and sends one more wave once they are in
// touch again.
func runKill(r *rig, hasTrouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t, stop, err := newTainted(ctx, r, true, false)
	if err != nil {
		return false, err
	}
	for range 2 {
		r.log("a wave of %d requests", waveSize)
		t.wave(ctx, 50*time.Millisecond)
		time.Sleep(contactTime + time.Second)
	}
	if hasTrouble {
		r.log("all hosts are killed")
		for _, h := range r.hosts {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range r.hosts {
			h.kill()
		}
		time.Sleep(killDowntime)
		for _, h := range r.hosts {
			if err := h.start(); err != nil {
				return false, err
			}
		}
		if err := r.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(contactTime + 2*time.Second)
	r.log("a wave of %d requests", waveSize)
	t.wave(ctx, 50*time.Millisecond)
	time.Sleep(time.Second)
	stop()
	return r.judgeTainted(), nil
}

// judgeTainted applies BUDGET to requests with a part that crashes engines.
func (r *rig) judgeTainted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	later, sent, soundCut, sound := 0, 0, 0, 0
	for _, a := range r.attempts {
		if !a.isTainted {
			sound++
			if a.err != nil || a.status >= 500 && a.status != 503 {
				soundCut++
			}
			continue
		}
		sent++
		if len(r.crashes) < crashesNeeded || a.sentAt.Sub(a.host.startedAt) <= contactTime {
			continue
		}
		since := a.sentAt.Sub(r.crashes[crashesNeeded-1])
		if arrivals := r.arrivalsOf(a.id); len(arrivals) > 0 && since > contactTime {
			later++
			r.log("request %s, sent to %s %.1f s after the fifth crash, reached engine %s", a.id, a.host.name, since.Seconds(), arrivals[0].server)
		}
	}
	r.say("%d requests with the part, %d crashes of engines; %d requests reached engines that were sent later than %s after the fifth crash, %d may; %d of %d sound reports cut or failed",
		sent, len(r.crashes), later, contactTime, maxLater, soundCut, sound)
	return later > maxLater
}
