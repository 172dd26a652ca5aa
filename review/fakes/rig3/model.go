package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxChannels is maxConnections of the service.
const maxChannels = 302

// modelEngine stands in for a model engine whose runs go on when their channel closes, as those of some engines do.
type modelEngine struct {
	id, zone string
	born     int64
	gap      time.Duration
	listener net.Listener
	rec      *record
	store    *store
	// channels counts the open ones; the engine resets those beyond maxChannels.
	channels atomic.Int32
	// spoilAt is the event of a run's first answer in whose place the engine hands out wrong bytes; 0 for none.
	spoilAt atomic.Int32
	// onSpoil is called as it does.
	onSpoil func()
	// backups holds standby copies; nil if the engine makes none. An engine that makes them closes a channel once its caller has.
	backups *backups

	mu   sync.Mutex
	runs []*modelRun
}

// modelRun is one run, from when the engine begins to work on it until it ends.
type modelRun struct {
	request, engine string
	lastEvent       string
	began, ended    time.Time
	stop            chan struct{}
	once            sync.Once
}

func newModelEngine(rec *record, st *store, ip, id, zone string, gap time.Duration) (*modelEngine, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &modelEngine{id: id, zone: zone, born: time.Now().UnixMilli(), gap: gap, listener: l, rec: rec, store: st, onSpoil: func() {}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if e.channels.Add(1) > maxChannels {
				rec.add("engine %s resets a new channel: it has as many as it accepts", id)
				e.channels.Add(-1)
				reset(c)
				continue
			}
			go e.serve(c)
		}
	}()
	st.put("servers", id, map[string]any{
		"service": "model", "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 32,
		"state": "healthy", "coldRemainingMs": 0, "sequence": 1, "born": e.born, "stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
	return e, nil
}

func (e *modelEngine) serve(c net.Conn) {
	defer e.channels.Add(-1)
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/tarragonspur/kv-move"):
		e.move(c, body)
	case strings.HasPrefix(r.URL.Path, "/tarragonspur/"):
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	case r.Header.Get("Expected-Instance") != "" && r.Header.Get("Expected-Instance") != e.id:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
	case r.Header.Get("Kv-From") != "" && (e.backups == nil || !e.backups.take(r.Header.Get("Kv-From"))):
		// The engine has no copy.
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"))
	default:
		e.stream(c, r)
	}
}

func (e *modelEngine) move(c net.Conn, body []byte) {
	var in struct {
		ID   string
		Last bool
	}
	_ = json.Unmarshal(body, &in)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, run := range e.runs {
		if run.request != in.ID || !run.ended.IsZero() {
			continue
		}
		if !in.Last {
			// No engine here has room for copies.
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			return
		}
		run.once.Do(func() { close(run.stop) })
		e.rec.add("engine %s is told to end %s", e.id, in.ID)
		_, _ = io.WriteString(c, answerText(`{"kvHandle":"h-1","created":1}`))
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
}

func answerText(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// stream works on a request and sends its events; a channel that closes does not end the run.
func (e *modelEngine) stream(c net.Conn, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	run := &modelRun{request: id, engine: e.id, lastEvent: r.Header.Get("Last-Event-Id"), began: time.Now(), stop: make(chan struct{})}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.rec.add("engine %s begins to work on %s, last event %q", e.id, id, run.lastEvent)
	if e.backups != nil {
		if to := r.Header.Get("Kv-Backup"); to != "" {
			e.backups.add(to, id)
			e.rec.add("engine %s keeps a standby copy of %s at %s", e.id, id, to)
		}
		go e.closeAtEnd(c, id)
	}
	defer func() {
		e.mu.Lock()
		run.ended = time.Now()
		e.mu.Unlock()
		e.rec.add("engine %s has ended its work on %s", e.id, id)
	}()
	_, usage, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(usage)
	next := 0
	if n, err := strconv.Atoi(run.lastEvent); err == nil {
		next = n + 1
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nResponse-Signature: s-%s\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id, id)
	spoilAt := int(e.spoilAt.Load())
	for ; next < tokens/4; next++ {
		select {
		case <-time.After(e.gap):
		case <-run.stop:
			return
		}
		if spoilAt > 0 && next == spoilAt {
			e.spoilAt.Store(0)
			e.rec.add("engine %s hands out wrong bytes in its answer to %s after event %d", e.id, id, next-1)
			_, _ = io.WriteString(c, "\x00\xff\x17zz\r\n")
			e.onSpoil()
		}
		text := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", next, next, id)
		// Writing to a channel that has closed fails, and the run goes on.
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

func (e *modelEngine) hasRuns() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs) > 0
}

// overlap returns how long two engines worked on a request after the later one had begun.
func overlap(engines []*modelEngine, id string) (time.Duration, string) {
	var all []*modelRun
	for _, e := range engines {
		e.mu.Lock()
		for _, r := range e.runs {
			if r.request == id {
				all = append(all, r)
			}
		}
		e.mu.Unlock()
	}
	most, text := time.Duration(0), ""
	for _, a := range all {
		for _, b := range all {
			if a == b || a.engine == b.engine || !a.began.Before(b.began) {
				continue
			}
			end := a.ended
			if end.IsZero() {
				end = time.Now()
			}
			if d := end.Sub(b.began); d > most {
				most, text = d, fmt.Sprintf("%s still worked on %s %s after %s had begun", a.engine, id, d.Round(time.Millisecond), b.engine)
			}
		}
	}
	return most, text
}
