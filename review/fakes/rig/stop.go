package main

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"sync"
	"time"
)

const (
	grace        = 8 * time.Second
	restartDelay = 500 * time.Millisecond
	// reportEvents are the events of a report: 600 tokens, 4 an event, 9 ms a token.
	reportEvents = 150
	reportGap    = 36 * time.Millisecond
	// reportInterval is the sheet's rate of reports, 4.63 a second.
	reportInterval = 216 * time.Millisecond
	// stops is how often the hosts are stopped.
	stops = 3
	// lateSend is the time after SIGTERM from which a request that is cut is not excused by the engine's being at work at the end.
	lateSend = 3 * time.Second
)

// hintFactors are the errors of the consumers' estimates: accurate at the median, often far off.
var hintFactors = []float64{1, 1.0 / 12, 12}

// runStop stops two of a failure domain's three hosts one second apart, three times, while consumers open new channels by the platform's
// rules.
func runStop(r *rig, hasTrouble bool) (bool, error) {
	r.isQuiet = true
	if err := r.addServers(12, &server{service: "assay-model", slots: 32, prefill: 250 * time.Millisecond, gap: reportGap}); err != nil {
		return false, err
	}
	r.putTable()
	if err := r.startAll(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.checkReadiness(ctx)
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	var senders sync.WaitGroup
	senders.Add(1)
	go func() {
		defer senders.Done()
		every(sending, reportInterval, func(n int) {
			hint := max(1, int(math.Round(reportEvents*4*hintFactors[n%len(hintFactors)])))
			r.call(ctx, r.pick("trent-mill", n/len(hintFactors)), reportPath, "write a report", 39*time.Second, map[string]string{
				"Model": "m", "Token-Usage": "800,2400", "Length-Hint": strconv.Itoa(hint), "Prefix-Hash": fmt.Sprintf("5c1e07a2:79,%x:721", 0x100000+n),
				"Rig-Events": strconv.Itoa(reportEvents),
			})
		})
	}()
	time.Sleep(5 * time.Second)
	terms := make(map[*host][]time.Time)
	for range stops {
		if hasTrouble {
			var restarts sync.WaitGroup
			for i, h := range r.hosts[:2] {
				restarts.Add(1)
				terms[h] = append(terms[h], time.Now().Add(time.Duration(i)*time.Second))
				go func() {
					defer restarts.Done()
					time.Sleep(time.Duration(i) * time.Second)
					if err := h.restart(grace, restartDelay); err != nil {
						r.say("%s did not start: %v", h.name, err)
					}
				}()
			}
			restarts.Wait()
		} else {
			time.Sleep(grace + time.Second + restartDelay)
		}
		time.Sleep(6 * time.Second)
	}
	stopSending()
	senders.Wait()
	return r.judgeStop(terms), nil
}

// judgeStop applies LOST to the planned stops.
func (r *rig) judgeStop(terms map[*host][]time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	complete, refused, excused, lost, other := 0, 0, 0, 0, 0
	for _, a := range r.attempts {
		arrivals := r.arrivalsOf(a.id)
		switch {
		case a.err == nil && a.status == 200:
			complete++
			continue
		case a.err == nil:
			refused++
			continue
		case len(arrivals) == 0:
			other++
			r.log("request %s sent to %s at %s: %s; it reached no engine", a.id, a.host.name, r.at(a.sentAt), a.outcome())
			continue
		}
		isCounted, isExcused := false, false
		for _, term := range terms[a.host] {
			if a.endedAt.Before(term) || a.sentAt.After(term.Add(grace+time.Second)) {
				continue
			}
			isCounted = true
			isAtWork := !arrivals[0].isWhole && a.endedAt.After(term.Add(grace-grace/6))
			isExcused = isExcused || isAtWork && a.sentAt.Before(term.Add(lateSend))
			r.log("request %s sent to %s at %s, %.2f s after SIGTERM, reached %s, ended at %s: %s", a.id, a.host.name, r.at(a.sentAt),
				a.sentAt.Sub(term).Seconds(), arrivals[0].server, r.at(a.endedAt), a.outcome())
		}
		switch {
		case isExcused:
			excused++
		case isCounted:
			lost++
			r.log("  LOST: it was sent later than 3 s after SIGTERM, passed on and cut")
		default:
			other++
			r.log("request %s sent to %s at %s, no SIGTERM near: %s", a.id, a.host.name, r.at(a.sentAt), a.outcome())
		}
	}
	fmt.Printf("%d reports: %d complete, %d refused, %d cut with the rule's excuse, %d other ends, %d LOST\n", len(r.attempts), complete, refused, excused, other, lost)
	r.log("%d reports: %d complete, %d refused, %d cut with the rule's excuse, %d other ends, %d LOST", len(r.attempts), complete, refused, excused, other, lost)
	return lost > 0
}
