package main

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// noLimit is what a server states that has no limit: the largest signed integer.
	noLimit = "9223372036854775807"
	// longReports is the number of consumers that read long reports from one host over kept channels, longEvents a report's length: 2,200 tokens, the
	// largest of the sheet.
	longReports = 36
	longEvents  = 550
	// noteInterval is the sheet's rate of notes, 6.46 a second; they go to the other hosts.
	noteInterval = 155 * time.Millisecond
	noteEvents   = 6
	// leavingEngines is a quarter of the engines, the largest share of the site files.
	leavingEngines = 3
	// maxLost is how often a host may close a kept channel without an answer.
	maxLost = 3
)

// runLimit lets consumers read long reports from one host over kept channels and short notes from the others. One engine states that it has no
// limit, as a number; a little later a quarter of the others report that they are draining and go on with what they have.
func runLimit(r *rig, hasTrouble bool) (bool, error) {
	r.isQuiet, r.moves = true, true
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
	var ends atomic.Int32
	stopKeeping := r.hosts[0].keepRunning(&ends)
	var consumers sync.WaitGroup
	for n := range longReports {
		consumers.Add(1)
		go func() {
			defer consumers.Done()
			// One connection a consumer, kept from request to request.
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			r.keptReport(ctx, client, r.hosts[0], n, noteEvents)
			r.keptReport(ctx, client, r.hosts[0], n, longEvents)
		}()
	}
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	consumers.Add(1)
	go func() {
		defer consumers.Done()
		every(sending, noteInterval, func(n int) {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
			r.keptReport(ctx, client, r.hosts[1+n%4], longReports+n, noteEvents)
		})
	}()
	time.Sleep(7 * time.Second)
	if hasTrouble {
		r.busiest(r.servers[leavingEngines:]).state(noLimit)
	}
	time.Sleep(5 * time.Second)
	for _, s := range r.servers[:leavingEngines] {
		s.leave()
	}
	time.Sleep(8 * time.Second)
	stopSending()
	consumers.Wait()
	stopKeeping()
	r.say("%d ends of the process by itself", ends.Load())
	return r.judgeLimit(), nil
}

// busiest returns the server that requests have reached most often in the last two seconds, of those in the region of the first host.
func (r *rig) busiest(servers []*server) *server {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int)
	for _, a := range r.arrivals {
		if time.Since(a.at) < 2*time.Second {
			counts[a.server]++
		}
	}
	best := servers[0]
	for _, s := range servers {
		if r.regionOf(s.zone) == r.hosts[0].region && counts[s.id] > counts[best.id] {
			best = s
		}
	}
	return best
}

// keptReport asks for one report over the consumer's kept channel.
func (r *rig) keptReport(ctx context.Context, client *http.Client, h *host, n, events int) {
	a := &attempt{id: r.newID(), host: h, route: reportPath, deadline: 39 * time.Second, sentAt: time.Now(), events: events}
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	r.byID[a.id] = a
	r.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.ip+":"+callerPort+reportPath+"x", strings.NewReader("write a report"))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Host = hostName
	for name, value := range map[string]string{
		"Attempt-Id": a.id, "Key": apiKey, "Deadline-Ms": "39000", "Model": "m", "Token-Usage": "800,2400", "Length-Hint": strconv.Itoa(events * 4),
		"Prefix-Hash": "5c1e07a2:79," + strconv.FormatInt(int64(0x100000+n), 16) + ":721", "Rig-Events": strconv.Itoa(events),
	} {
		req.Header.Set(name, value)
	}
	status, got := 0, 0
	resp, err := client.Do(req)
	if err == nil {
		var text strings.Builder
		status = resp.StatusCode
		_, err = copyAll(&text, resp)
		got = strings.Count(text.String(), "\n\n")
	}
	r.mu.Lock()
	a.status, a.got, a.err, a.endedAt = status, got, err, time.Now()
	r.mu.Unlock()
}

// judgeLimit applies LOST: the host passed a request from a kept channel on to a sound engine and closed the channel without an answer.
func (r *rig) judgeLimit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost, complete, refused, unread := 0, 0, 0, 0
	for _, a := range r.attempts {
		arrivals := r.arrivalsOf(a.id)
		switch {
		case a.err == nil && a.status == http.StatusOK && a.got == a.events:
			complete++
		case a.err == nil:
			refused++
		case len(arrivals) > 0 && a.host == r.hosts[0] && a.endedAt.Sub(a.sentAt) < a.deadline:
			lost++
			r.log("LOST: request %s, sent to %s over a kept channel at %s, reached %s, ended at %s: %s", a.id, a.host.name, r.at(a.sentAt), arrivals[0].server,
				r.at(a.endedAt), a.outcome())
		default:
			unread++
			r.log("request %s, sent to %s at %s, ended at %s: %s", a.id, a.host.name, r.at(a.sentAt), r.at(a.endedAt), a.outcome())
		}
	}
	r.say("%d reports: %d complete, %d refused, %d LOST (%d may), %d others closed without an answer", len(r.attempts), complete, refused, lost, maxLost, unread)
	return lost > maxLost
}
