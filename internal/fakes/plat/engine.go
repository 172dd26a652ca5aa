package plat

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is one request as a backend server received it.
type Request struct {
	*http.Request

	Text string
	// Ran tells whether the backend server began to work on it.
	Ran bool
	At  time.Time
}

// Attempt returns the ID of the caller's attempt.
func (r *Request) Attempt() string { return r.Header.Get("Attempt-Id") }

// ResumesRun reports whether the request goes on with a run from its copy.
func (r *Request) ResumesRun() bool { return r.Header.Get("Kv-From") != "" }

// CopyRegistry is what the backend servers of a deployment share: the copies of runs.
type CopyRegistry struct {
	mu     sync.Mutex
	copies map[string]bool
}

// Script answers a request by hand; it returns false to have it answered as usual.
type Script func(conn net.Conn, r *Request) bool

// Engine is a backend server: it answers plain requests, and streams where the path asks for it. A stream's events
// depend on the request's ID alone, as those of one run do.
type Engine struct {
	ID string
	// Events is the length of a stream, and Pause the time between its events.
	Events int
	Pause  time.Duration
	// Delay is the time that a plain request takes.
	Delay  time.Duration
	Copies *CopyRegistry
	// Script may take requests over.
	Script Script
	// Public is the address that others know the engine by; the zero value means its own.
	Public netip.AddrPort

	listener net.Listener
	mu       sync.Mutex
	requests []*Request
	// working counts the requests in progress.
	working int
	conns   map[net.Conn]bool
	dead    bool
}

// Start listens on loopback, at an earlier address if there is one.
func (e *Engine) Start() {
	address := "127.0.0.1:0"
	if e.listener != nil {
		address = e.listener.Addr().String()
	}
	l, err := net.Listen("tcp", address) //nolint:noctx // a stand-in has no context to end with
	if err != nil {
		panic(err)
	}
	e.mu.Lock()
	e.listener, e.dead, e.conns = l, false, make(map[net.Conn]bool)
	e.mu.Unlock()
	go e.accept(l)
}

// Restart starts a crashed engine again; one that runs is left alone.
func (e *Engine) Restart() {
	e.mu.Lock()
	dead := e.dead
	e.mu.Unlock()
	if dead {
		e.Start()
	}
}

// Crash closes the listener and resets all connections.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	_ = e.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Address returns the address that the engine listens on.
func (e *Engine) Address() netip.AddrPort { return netip.MustParseAddrPort(e.listener.Addr().String()) }

// PublicAddress returns the address that others know the engine by.
func (e *Engine) PublicAddress() netip.AddrPort {
	if e.Public.IsValid() {
		return e.Public
	}
	return e.Address()
}

// Requests returns all requests that reached the engine.
func (e *Engine) Requests() []Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []Request
	for _, r := range e.requests {
		all = append(all, *r)
	}
	return all
}

// Runs returns the number of requests that the engine began to work on.
func (e *Engine) Runs() int {
	n := 0
	for _, r := range e.Requests() {
		if r.Ran {
			n++
		}
	}
	return n
}

// MarkRun notes that the engine begins to work on a request.
func (e *Engine) MarkRun(r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Ran = true
}

// InProgress returns the number of requests in progress.
func (e *Engine) InProgress() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.working
}

func (e *Engine) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *Engine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	req := &Request{Request: r, Text: string(text), At: time.Now()}
	e.mu.Lock()
	e.requests = append(e.requests, req)
	e.working++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.working--
		e.mu.Unlock()
	}()
	if e.Script != nil && e.Script(conn, req) {
		return
	}
	e.answer(conn, br, req)
}

// answer works as an engine does on a good day.
func (e *Engine) answer(conn net.Conn, br *bufio.Reader, r *Request) {
	switch expected := r.Header.Get("Expected-Instance"); {
	case strings.HasPrefix(r.URL.Path, "/tarragonspur/kv-move"):
		e.move(conn, r)
	case strings.HasPrefix(r.URL.Path, "/tarragonspur/kv-handle/"):
		e.Copies.free(strings.TrimPrefix(r.URL.Path, "/tarragonspur/kv-handle/"))
		Reply(conn, r, http.StatusOK, "", "")
	case expected != "" && expected != e.ID:
		Reply(conn, r, http.StatusMisdirectedRequest, "", "Instance-Id: "+e.ID+"\r\n")
	case r.Header.Get("Kv-From") != "" && !e.Copies.take(r.Header.Get("Kv-From")):
		Reply(conn, r, http.StatusServiceUnavailable, "", "Not-Executed: 1\r\n")
	case r.Header.Get("Token-Usage") != "":
		e.MarkRun(r)
		e.stream(conn, br, r)
	default:
		e.MarkRun(r)
		time.Sleep(e.Delay)
		Reply(conn, r, http.StatusOK, "answer to "+r.Header.Get("Attempt-Id"), Signature)
	}
}

// Signature is the header that marks an engine's own answer.
const Signature = "Response-Signature: s1\r\n"

// IsSigned reports whether an answer is an engine's own.
func IsSigned(h http.Header) bool { return h.Get("Response-Signature") != "" }

// Reply writes a whole answer; headers end with a line break each.
func Reply(conn net.Conn, r *Request, status int, body, headers string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.Header.Get("Attempt-Id"), headers, len(body), body)
}

// Event returns an event of a request's stream.
func Event(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, request, number)
}

// WriteStreamHeader writes the head of a stream.
func WriteStreamHeader(conn net.Conn, r *Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Attempt-Id"), Signature)
}

// WriteChunk writes a part of a stream; an empty one ends it.
func WriteChunk(conn net.Conn, text string) error {
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	return err
}

func (e *Engine) stream(conn net.Conn, br *bufio.Reader, r *Request) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	id := r.Header.Get("Attempt-Id")
	if backup := r.Header.Get("Kv-Backup"); backup != "" {
		e.Copies.add(backup + "/" + id)
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = br.ReadByte()
	}()
	WriteStreamHeader(conn, r)
	for n := first; n < e.Events; n++ {
		if WriteChunk(conn, Event(id, n)) != nil {
			return
		}
		select {
		case <-time.After(e.Pause):
		case <-gone:
			return
		}
	}
	_ = WriteChunk(conn, "")
}

func (e *Engine) move(conn net.Conn, r *Request) {
	var call struct {
		ID     string `json:"id"`
		Target string `json:"target"`
	}
	if err := json.Unmarshal([]byte(r.Text), &call); err != nil {
		Reply(conn, r, http.StatusBadRequest, "", "")
		return
	}
	handle := "h-" + call.ID
	e.Copies.add(e.PublicAddress().String() + "/" + handle)
	Reply(conn, r, http.StatusOK, fmt.Sprintf(`{"kvHandle":%q,"created":1}`, handle), "Content-Type: application/json\r\n")
}

func (p *CopyRegistry) add(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.copies == nil {
		p.copies = make(map[string]bool)
	}
	p.copies[name] = true
}

// Count returns the number of copies that exist.
func (p *CopyRegistry) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.copies)
}

// free gives a copy up.
func (p *CopyRegistry) free(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.copies, func(key string, _ bool) bool { return strings.HasSuffix(key, "/"+name) })
}

// take uses a copy up; it reports false if there is none.
func (p *CopyRegistry) take(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	had := p.copies[name]
	delete(p.copies, name)
	return had
}
