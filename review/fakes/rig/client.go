package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is one consumer attempt and what became of it.
type attempt struct {
	id       string
	host     *host
	route    string
	sentAt   time.Time
	endedAt  time.Time
	deadline time.Duration
	// events is the number of events that a stream has, got the number that arrived.
	events, got int
	status      int
	isSigned    bool
	// isTainted reports that the prompt holds a part that crashes engines.
	isTainted bool
	// err is nil if the answer is complete.
	err error
}

// The routes of the table.
const (
	hostName    = "mill.example"
	reportPath  = "/reports/"
	bookingPath = "/bookings/"
	apiKey      = "k1-hallowbrook"
)

// call sends one attempt over a new channel and waits for its end.
func (r *rig) call(ctx context.Context, h *host, path, body string, deadline time.Duration, header map[string]string) *attempt {
	a := &attempt{id: r.newID(), host: h, route: path, deadline: deadline, sentAt: time.Now()}
	a.events, _ = strconv.Atoi(header["Rig-Events"])
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	r.byID[a.id] = a
	r.mu.Unlock()
	status, got, isSigned, err := r.exchange(ctx, a, path, body, header)
	r.mu.Lock()
	defer r.mu.Unlock()
	a.status, a.got, a.isSigned, a.err, a.endedAt = status, got, isSigned, err, time.Now()
	return a
}

func (r *rig) exchange(ctx context.Context, a *attempt, path, body string, header map[string]string) (status, got int, isSigned bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, a.deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.host.ip+":"+callerPort+path+"x", strings.NewReader(body))
	if err != nil {
		return 0, 0, false, err
	}
	// Keeps the transport from repeating the request by itself.
	req.GetBody = nil
	req.Host = hostName
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Key", apiKey)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	got = strings.Count(string(text), "\n\n")
	if err == nil && resp.StatusCode == http.StatusOK && a.events > 0 && got != a.events {
		err = fmt.Errorf("%d of %d events", got, a.events)
	}
	return resp.StatusCode, got, resp.Header.Get("Response-Signature") != "", err
}

// outcome describes the end of an attempt; the caller holds the lock.
func (a *attempt) outcome() string {
	switch {
	case a.endedAt.IsZero():
		return "no end yet"
	case a.err != nil && a.status == 0 && errors.Is(a.err, context.DeadlineExceeded):
		return "no answer in time"
	case a.err != nil && a.status == 0:
		return fmt.Sprintf("channel ended without an answer (%v)", a.err)
	case a.err != nil:
		return fmt.Sprintf("status %d, channel ended after %d of %d events (%v)", a.status, a.got, a.events, a.err)
	default:
		return fmt.Sprintf("status %d, complete", a.status)
	}
}

// every calls send at a mean rate until ctx ends, each call in a goroutine of its own, and waits for all of them.
func every(ctx context.Context, interval time.Duration, send func(n int)) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			calls.Add(1)
			go func() {
				defer calls.Done()
				send(n)
			}()
		case <-ctx.Done():
			calls.Wait()
			return
		}
	}
}

// copyAll reads the whole body.
func copyAll(to io.Writer, resp *http.Response) (int64, error) {
	defer func() { _ = resp.Body.Close() }()
	return io.Copy(to, resp.Body)
}
