package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// plainEngine stands in for a backend server of a plain service: it answers each request after a short time.
type plainEngine struct {
	id, service, zone string
	slots             int
	work              time.Duration
	born              int64
	listener          net.Listener
	rec               *record
	store             *store

	mu       sync.Mutex
	sequence int64
	// runs are the requests that ran, in order.
	runs []run
}

type run struct {
	id, tenant, path string
	at               time.Time
}

func newPlainEngine(rec *record, st *store, ip, id, service, zone string) (*plainEngine, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &plainEngine{id: id, service: service, zone: zone, slots: 6, work: 30 * time.Millisecond, born: time.Now().UnixMilli(), listener: l, rec: rec, store: st}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	e.write()
	return e, nil
}

// write writes the engine's entry, as it does about each heartbeat and after the store's return.
func (e *plainEngine) write() {
	e.mu.Lock()
	e.sequence++
	n := e.sequence
	e.mu.Unlock()
	e.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": e.slots,
		"state": "healthy", "coldRemainingMs": 0, "sequence": n, "born": e.born,
	})
}

func (e *plainEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		if want := r.Header.Get("Expected-Instance"); want != "" && want != e.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id, id)
			continue
		}
		e.mu.Lock()
		e.runs = append(e.runs, run{id, r.Header.Get("Tenant"), r.URL.Path, time.Now()})
		e.mu.Unlock()
		e.rec.add("engine %s runs %s, tenant %q, %s, body of %d bytes", e.id, id, r.Header.Get("Tenant"), r.URL.Path, len(body))
		time.Sleep(e.work)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nAttempt-Id: %s\r\nResponse-Signature: s-%s\r\nContent-Length: 2\r\n\r\nok", e.id, id, id)
	}
}

func (e *plainEngine) ran(id string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if r.id == id {
			return r.at, true
		}
	}
	return time.Time{}, false
}

// reply is an answer as a consumer saw it.
type reply struct {
	status int
	body   string
	err    error
	took   time.Duration
	// instance is the engine that the answer names.
	instance string
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("no answer (%v) after %s", r.err, r.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("status %d after %s", r.status, r.took.Round(time.Millisecond))
}

// send sends one request on a new channel and reads its answer.
func send(address, method, path, id, key string, deadline time.Duration, extra []string, body []byte) reply {
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(deadline + 500*time.Millisecond))
	_, _ = c.Write(head(method, path, id, key, deadline, extra, len(body)))
	_, _ = c.Write(body)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	text, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(text), err, time.Since(began), resp.Header.Get("Instance-Id")}
}

func head(method, path, id, key string, deadline time.Duration, extra []string, length int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, id, deadline.Milliseconds())
	if key != "" {
		fmt.Fprintf(&b, "Key: %s\r\n", key)
	}
	for _, line := range extra {
		b.WriteString(line + "\r\n")
	}
	if length > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// manifest returns the operator's manifest with the given keys of the tenant t1.
func manifest(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "booking", "host": "a.example", "pathPrefix": "/book/", "routeKind": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 250,
				"priority": 2, "service": "plain", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false, "allowedRegions": []string{},
			},
			map[string]any{
				"name": "read", "host": "a.example", "pathPrefix": "/read/", "routeKind": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 250,
				"priority": 2, "service": "plain", "maxAttempts": 2, "public": false, "sticky": false, "resumable": false, "allowedRegions": []string{},
			},
			map[string]any{
				"name": "report", "host": "a.example", "pathPrefix": "/report/", "routeKind": "streaming", "timeoutMs": 39000, "targetLatencyMs": 1800,
				"priority": 1, "service": "model", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "itlTargetMs": 180, "allowedRegions": []string{},
			},
			map[string]any{
				"name": "note", "host": "a.example", "pathPrefix": "/note/", "routeKind": "streaming", "timeoutMs": 20000, "targetLatencyMs": 1500,
				"priority": 0, "service": "model", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "itlTargetMs": 180, "allowedRegions": []string{},
			},
		},
		"services": []any{
			map[string]any{"name": "plain", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
			map[string]any{
				"name": "model", "healthPath": "/healthz", "maxConnections": maxChannels, "protocol": "h1", "tls": false, "coldStartS": 1.0, "coldPerS": 39.0,
				"engine": map[string]any{
					"slots": 32, "kvCapacityTokens": 34297, "kvTokenBytes": 262144, "linkCapacityMbps": 38000.0, "moves": true, "backups": true,
					"stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": keys, "priority": 1, "allowedRegions": []string{}}},
	}
}
