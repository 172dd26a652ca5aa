package fleet_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	requestTimeout = 20 * time.Second
	streamTokens   = 48
	callerDelay    = 20 * time.Millisecond
)

// load is a set of callers that send requests until they are stopped and count the results.
type load struct {
	fleet  *fleet
	cancel context.CancelFunc
	group  sync.WaitGroup

	// completed, failed and refused count streams; a failed one ended with an error or a broken connection.
	completed, failed, refused atomic.Int64
	// truncated counts streams that ended without their final event and without an error.
	truncated atomic.Int64
	// wrongLength counts streams with a final event and another number of tokens than requested.
	wrongLength atomic.Int64
	// booked counts bookings answered with success, unconfirmed those without success after the last attempt.
	booked, unconfirmed atomic.Int64

	mu sync.Mutex
	// bodies holds the bodies of all bookings.
	bodies []string
}

// startLoad starts callers that request streams or make bookings, spread over the hosts.
func startLoad(f *fleet, streams, bookings int) *load {
	ctx, cancel := context.WithCancel(f.t.Context())
	l := &load{fleet: f, cancel: cancel}
	for i := range streams {
		l.group.Go(func() { l.runCaller(ctx, i, l.sendStream) })
	}
	for i := range bookings {
		l.group.Go(func() { l.runCaller(ctx, i, l.sendBooking) })
	}
	return l
}

// waitUntilServing waits for the first completed stream and the first successful booking, which come some time after a
// fleet's start.
func (l *load) waitUntilServing() {
	l.fleet.t.Helper()
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if l.completed.Load() > 0 && l.booked.Load() > 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.fleet.t.Fatalf("the fleet does not serve: %s", l)
}

// stop stops the callers and waits until their current requests have ended.
func (l *load) stop() {
	l.cancel()
	l.group.Wait()
}

// runCaller sends one request per round until ctx is cancelled.
func (l *load) runCaller(ctx context.Context, caller int, send func(caller, round int)) {
	for round := 0; ctx.Err() == nil; round++ {
		send(caller, round)
		select {
		case <-ctx.Done():
		case <-time.After(callerDelay):
		}
	}
}

// pickHost returns the hosts in turn; a balancer would choose the same way among ready hosts.
func (l *load) pickHost(caller, round int) *entryHost {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	hosts := l.fleet.hosts
	return hosts[(caller+round)%len(hosts)]
}

func (l *load) sendStream(caller, round int) {
	h := l.pickHost(caller, round)
	if h.isUnavailable() {
		return
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"a guide for caller %d","max_tokens":%d,"stream":true}`, model, caller, streamTokens)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	resp, err := l.post(ctx, h, "/v1/completions", body, "")
	if err != nil {
		l.failed.Add(1)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		l.refused.Add(1)
		return
	}
	l.countStream(resp)
}

// countStream reads a stream to its end and adds it to the counter for how it ended.
func (l *load) countStream(resp *http.Response) {
	tokens, isComplete, isError := 0, false, false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case line == "data: [DONE]":
			isComplete = true
		case line == "event: error":
			isError = true
		case strings.Contains(line, `"finish_reason":null`):
			tokens++
		}
	}
	switch {
	case isComplete && tokens != streamTokens:
		l.wrongLength.Add(1)
	case isComplete:
		l.completed.Add(1)
	case isError || lines.Err() != nil:
		l.failed.Add(1)
	default:
		l.truncated.Add(1)
	}
}

// sendBooking sends one booking with an idempotency key and retries it on other hosts until it succeeds or the
// attempts are used up.
func (l *load) sendBooking(caller, round int) {
	const maxAttempts = 4
	body := fmt.Sprintf(`{"barrel":%d,"week":%d}`, caller, round)
	l.mu.Lock()
	l.bodies = append(l.bodies, body)
	l.mu.Unlock()
	for attempt := range maxAttempts {
		h := l.pickHost(caller, round+attempt)
		if h.isUnavailable() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		resp, err := l.post(ctx, h, "/v1/services/"+service+"/bookings", body, fmt.Sprintf("key-%d-%d", caller, round))
		if err != nil {
			cancel()
			continue
		}
		status := resp.StatusCode
		_ = resp.Body.Close()
		cancel()
		if status == http.StatusCreated {
			l.booked.Add(1)
			return
		}
	}
	l.unconfirmed.Add(1)
}

func (l *load) post(ctx context.Context, h *entryHost, path, body, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callersAddr+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(req)
}

// doubleRuns returns the bookings that ran more than once.
func (l *load) doubleRuns() []string {
	counts := make(map[string]int)
	for _, body := range l.fleet.runs() {
		counts[body]++
	}
	var duplicates []string
	for body, n := range counts {
		if n > 1 {
			duplicates = append(duplicates, body)
		}
	}
	return duplicates
}

func (l *load) String() string {
	text, _ := json.Marshal(map[string]int64{
		"whole": l.completed.Load(), "failed": l.failed.Load(), "refused": l.refused.Load(), "cut": l.truncated.Load(),
		"wrong": l.wrongLength.Load(), "booked": l.booked.Load(), "unknown": l.unconfirmed.Load(),
	})
	return string(text)
}

// isUnavailable reports whether the host's process has exited or the balancer does not list the host.
func (h *entryHost) isUnavailable() bool {
	select {
	case <-h.exited:
		return true
	default:
		return h.unlisted.Load()
	}
}
