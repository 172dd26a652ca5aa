package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimitMB is the memory of a host on the data sheet, memoryCheck how often the platform looks.
	memoryLimitMB = 134
	memoryCheck   = 5 * time.Millisecond
	// uploadBytes is the manifest's maxBodyBytes, uploadPiece and uploadPause pace a body to 40 Mbit/s.
	uploadBytes = 4 << 20
	uploadPiece = 64 << 10
	uploadPause = 13 * time.Millisecond
	// uploaders is the number of consumers that upload to the host at a time, burstFactor that of the burst.
	uploaders   = 8
	burstFactor = 2.5
	burstTime   = 10 * time.Second
	// keptReports is the number of consumers that read reports over kept channels.
	keptReports = 8
	// maxLost is how often a host may close a kept channel without an answer.
	maxLost = 3
)

// runMemory lets consumers book with bodies of the size that the manifest allows; the disruption is a burst of them.
func runMemory(r *rig, hasTrouble bool) (bool, error) {
	r.isQuiet = true
	if err := r.addServers(3, &server{service: "millbook", slots: 6, work: 30 * time.Millisecond}); err != nil {
		return false, err
	}
	if err := r.addServers(6, &server{service: "assay-model", slots: 32, prefill: 250 * time.Millisecond, gap: reportGap}); err != nil {
		return false, err
	}
	r.putTable()
	if err := r.startAll(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.checkReadiness(ctx)
	h := r.hosts[0]
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		h.limitMemory(ctx)
	}()
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	var consumers sync.WaitGroup
	start := func(n int, until context.Context, send func(ctx context.Context, client *http.Client)) {
		for range n {
			consumers.Add(1)
			go func() {
				defer consumers.Done()
				// One connection a consumer, kept from request to request.
				client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
				for until.Err() == nil {
					send(ctx, client)
				}
			}()
		}
	}
	start(keptReports, sending, func(ctx context.Context, client *http.Client) {
		r.keptCall(ctx, client, h, reportPath, strings.NewReader("write a report"), map[string]string{
			"Model": "m", "Token-Usage": "800,600", "Length-Hint": strconv.Itoa(reportEvents * 4), "Prefix-Hash": "5c1e07a2:79,100001:721",
			"Rig-Events": strconv.Itoa(reportEvents),
		})
	})
	upload := func(ctx context.Context, client *http.Client) {
		r.keptCall(ctx, client, h, bookingPath, &pacedBody{left: uploadBytes}, nil)
	}
	start(uploaders, sending, upload)
	time.Sleep(10 * time.Second)
	if hasTrouble {
		r.log("burst: %g times the uploads", burstFactor)
		burst, endBurst := context.WithTimeout(sending, burstTime)
		defer endBurst()
		more := burstFactor*uploaders - uploaders
		start(int(more), burst, upload)
	}
	time.Sleep(burstTime)
	stopSending()
	consumers.Wait()
	cancel()
	<-watched
	return r.judgeMemory(), nil
}

// pacedBody is a body that arrives at the speed of a consumer's link.
type pacedBody struct{ left int }

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(uploadPause)
	n := min(len(p), b.left, uploadPiece)
	for i := range n {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}

// keptCall sends one attempt over the consumer's kept channel.
func (r *rig) keptCall(ctx context.Context, client *http.Client, h *host, path string, body io.Reader, header map[string]string) {
	a := &attempt{id: r.newID(), host: h, route: path, deadline: 39 * time.Second, sentAt: time.Now()}
	if path == bookingPath {
		a.deadline = 4 * time.Second
	}
	a.events, _ = strconv.Atoi(header["Rig-Events"])
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	r.byID[a.id] = a
	r.mu.Unlock()
	err := func() error {
		ctx, cancel := context.WithTimeout(ctx, a.deadline+time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.ip+":"+callerPort+path+"x", body)
		if err != nil {
			return err
		}
		if p, ok := body.(*pacedBody); ok {
			req.ContentLength = int64(p.left)
		}
		req.GetBody = nil
		req.Host = hostName
		for name, value := range header {
			req.Header.Set(name, value)
		}
		req.Header.Set("Attempt-Id", a.id)
		req.Header.Set("Key", apiKey)
		req.Header.Set("Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		a.status = resp.StatusCode
		text, err := io.ReadAll(resp.Body)
		a.got = strings.Count(string(text), "\n\n")
		return err
	}()
	r.mu.Lock()
	a.err, a.endedAt = err, time.Now()
	r.mu.Unlock()
	if err != nil || a.status != http.StatusOK {
		// A consumer comes back a little later.
		time.Sleep(500 * time.Millisecond)
	}
}

// limitMemory kills the process when its memory exceeds the limit and starts it again, as the platform does.
func (h *host) limitMemory(ctx context.Context) {
	most := 0
	for ctx.Err() == nil {
		time.Sleep(memoryCheck)
		rss := h.residentMB()
		most = max(most, rss)
		if rss <= memoryLimitMB {
			continue
		}
		h.rig.say("%s has %d MB, its limit is %d: the platform kills it", h.name, rss, memoryLimitMB)
		h.mu.Lock()
		h.overLimit = append(h.overLimit, time.Now())
		h.mu.Unlock()
		h.signal(syscall.SIGKILL)
		h.kill()
		time.Sleep(restartDelay)
		if err := h.start(); err != nil {
			h.rig.say("%s did not start: %v", h.name, err)
			return
		}
	}
	h.rig.say("the most memory of %s was %d MB", h.name, most)
}

// residentMB returns the process's resident memory; bytes in its sockets are not in it.
func (h *host) residentMB() int {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// judgeMemory applies LOST: the host passed a request from a kept channel on to a sound engine and closed the channel without an answer.
func (r *rig) judgeMemory() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost, complete, other := 0, 0, 0
	for _, a := range r.attempts {
		arrivals := r.arrivalsOf(a.id)
		switch {
		case a.err == nil && a.status == http.StatusOK:
			complete++
		case a.err != nil && len(arrivals) > 0 && !errors.Is(a.err, context.DeadlineExceeded) && a.endedAt.Sub(a.sentAt) < a.deadline:
			lost++
			r.log("LOST: request %s on %s over a kept channel, sent at %s, reached %s, ended at %s: %s", a.id, a.route, r.at(a.sentAt), arrivals[0].server,
				r.at(a.endedAt), a.outcome())
		default:
			other++
		}
	}
	kills := len(r.hosts[0].overLimit)
	r.say("%d requests: %d answered whole, %d LOST (%d may), %d others; %d kills by the platform", len(r.attempts), complete, lost, maxLost, other, kills)
	return lost > maxLost
}
