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

// Request is a request that a backend server received.
type Request struct {
	*http.Request

	// Text is the body.
	Text string
	// Ran reports whether the backend server has started to run the request.
	Ran bool
	// At is the time at which the request was received.
	At time.Time
	// BeganAt and EndedAt are the times at which the server began and ended to work on a stream; zero before.
	BeganAt, EndedAt time.Time

	// states are the header lines that the server adds to its response.
	states string
}

// Attempt returns the ID of the caller's attempt.
func (r *Request) Attempt() string { return r.Header.Get("Attempt-Id") }

// ResumesRun reports whether the request resumes a run from a copy of its KV cache.
func (r *Request) ResumesRun() bool { return r.Header.Get("Kv-From") != "" }

// GoesOn reports whether the request continues a stream, from a copy or without one.
func (r *Request) GoesOn() bool { return r.ResumesRun() || r.Header.Get("Last-Event-Id") != "" }

// HeadGoesOn reports the same of the head of a request as it was sent.
func HeadGoesOn(head string) bool {
	return strings.Contains(head, "Kv-From: ") || strings.Contains(head, "Last-Event-Id: ")
}

// CopyRegistry holds the copies of runs' KV caches; the backend servers of a deployment share it.
type CopyRegistry struct {
	mu     sync.Mutex
	copies map[string]bool
}

// Script replaces a server's response to a request; if it returns false, the server responds as usual.
type Script func(conn net.Conn, r *Request) bool

// Server is a fake backend server: it answers plain requests, and with a stream those that have a Token-Usage header.
// A stream's events depend only on the attempt's ID, so that a resumed run continues them.
type Server struct {
	ID string
	// Version is the version of the server's software.
	Version string
	// IsBad, if set, says whether a request fails at this version: it is answered with status 500.
	IsBad func(r *Request) bool
	// Events is the number of events of a stream, and Pause the time between them.
	Events int
	Pause  time.Duration
	// Delay is the duration of a plain request.
	Delay  time.Duration
	Copies *CopyRegistry
	// Script, if set, may respond to requests instead of the server.
	Script Script
	// BackupDelay is how long after a stream's start its standby copy is there.
	BackupDelay time.Duration
	// IgnoresEnds makes the server go on with a stream whose caller has closed its connection.
	IgnoresEnds bool
	// ClosesEnds makes the server close its end of a stream's connection once its caller has, and go on with the stream.
	ClosesEnds bool
	// Public is the address that others reach the server at, such as a proxy's; the zero value stands for Address.
	Public netip.AddrPort

	listener net.Listener
	mu       sync.Mutex
	// states are header lines of all responses.
	states   string
	requests []*Request
	// inProgress counts the requests without a complete response.
	inProgress int
	conns      map[net.Conn]bool
	crashed    bool
	// runs holds a channel for each run at work, by the attempt's ID; closing it stops the run.
	runs map[string]chan struct{}
	// renames counts the calls of Rename.
	renames int
	// slowdown is added to each pause of a stream, and noticeDelay is the time until the server notices the end of a stream's
	// connection.
	slowdown, noticeDelay time.Duration
}

// ListenAddress has a port chosen by the kernel, at an address that no outgoing connection has: the port stays available
// while its server is down.
const ListenAddress = "127.0.0.2:0"

// Start listens on loopback, at the earlier address if the server has been started before.
func (s *Server) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start()
}

func (s *Server) start() {
	address := ListenAddress
	if s.listener != nil {
		address = s.listener.Addr().String()
	}
	l, err := net.Listen("tcp", address) //nolint:noctx // Crash closes the listener
	if err != nil {
		panic(err)
	}
	s.listener, s.crashed, s.conns = l, false, make(map[net.Conn]bool)
	go s.accept(l)
}

// Restart starts a crashed server again; it does nothing if the server runs.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		s.start()
	}
}

// Rename gives the server a new instance ID, as a server has after most restarts.
func (s *Server) Rename() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renames++
}

// InstanceID returns the ID of the server's current lifetime: ID until it is renamed.
func (s *Server) InstanceID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.renames == 0 {
		return s.ID
	}
	return fmt.Sprintf("%s-%d", s.ID, s.renames)
}

// SlowDown adds a time to each pause between events from now on.
func (s *Server) SlowDown(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = by
}

// DelayNotice makes the server notice the end of a stream's connection later from now on.
func (s *Server) DelayNotice(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticeDelay = by
}

// Crash ends all runs, closes the listener and resets all connections.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = true
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	for _, stopped := range s.runs {
		close(stopped)
	}
	clear(s.runs)
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// PublicAddress returns the address that others reach the server at.
func (s *Server) PublicAddress() netip.AddrPort {
	if s.Public.IsValid() {
		return s.Public
	}
	return s.Address()
}

// Requests returns copies of all requests received.
func (s *Server) Requests() []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Request
	for _, r := range s.requests {
		all = append(all, *r)
	}
	return all
}

// Runs returns the number of requests that the server has started to run.
func (s *Server) Runs() int {
	n := 0
	for _, r := range s.Requests() {
		if r.Ran {
			n++
		}
	}
	return n
}

// MarkRun records that the server starts to run a request.
func (s *Server) MarkRun(r *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Ran = true
}

// State adds header lines, each ending with a line break, to all responses from now on.
func (s *Server) State(lines string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states = lines
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inProgress
}

func (s *Server) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
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
	s.mu.Lock()
	req.states = s.states
	s.requests = append(s.requests, req)
	s.inProgress++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inProgress--
		s.mu.Unlock()
	}()
	if s.Script != nil && s.Script(conn, req) {
		return
	}
	s.respond(conn, br, req)
}

// respond answers a request as a server without faults does.
func (s *Server) respond(conn net.Conn, br *bufio.Reader, r *Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/tarragonspur/kv-move"):
		s.createCopy(conn, r)
	case strings.HasPrefix(r.URL.Path, "/tarragonspur/kv-handle/"):
		s.Copies.remove(strings.TrimPrefix(r.URL.Path, "/tarragonspur/kv-handle/"))
		Reply(conn, r, http.StatusOK, "", "")
	case s.IsMisdirected(r):
		Reply(conn, r, http.StatusMisdirectedRequest, "", "Instance-Id: "+s.InstanceID()+"\r\n")
	case r.Header.Get("Kv-From") != "" && !s.Copies.consume(r.Header.Get("Kv-From")):
		Reply(conn, r, http.StatusServiceUnavailable, "", "Not-Executed: 1\r\n")
	case s.IsBad != nil && s.IsBad(r):
		s.MarkRun(r)
		Reply(conn, r, http.StatusInternalServerError, "bad version", Signature)
	case r.Header.Get("Token-Usage") != "":
		s.MarkRun(r)
		s.stream(conn, br, r)
	default:
		s.MarkRun(r)
		time.Sleep(s.Delay)
		Reply(conn, r, http.StatusOK, "answer to "+r.Header.Get("Attempt-Id"), Signature)
	}
}

// IsMisdirected reports whether a request is meant for another instance.
func (s *Server) IsMisdirected(r *Request) bool {
	expected := r.Header.Get("Expected-Instance")
	return expected != "" && expected != s.InstanceID()
}

// Signature is the header line that marks a response as a server's own.
const Signature = "Response-Signature: s1\r\n"

// IsSigned reports whether a response with this header is a server's own.
func IsSigned(h http.Header) bool { return h.Get("Response-Signature") != "" }

// Reply writes a whole response; each of the header lines ends with a line break.
func Reply(conn net.Conn, r *Request, status int, body, headers string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.Header.Get("Attempt-Id"), r.states+headers, len(body), body)
}

// Event returns the event with a number of a request's stream, in the text/event-stream format.
func Event(request string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, request, number)
}

// WriteStreamHeader writes the status line and header of a stream.
func WriteStreamHeader(conn net.Conn, r *Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Attempt-Id"), r.states+Signature)
}

// WriteChunk writes a chunk of a stream; an empty one ends the stream.
func WriteChunk(conn net.Conn, text string) error {
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	return err
}

// stream writes the events after Last-Event-Id until the end or until the connection is closed. With Kv-Backup, it
// registers a copy at that address first.
func (s *Server) stream(conn net.Conn, br *bufio.Reader, r *Request) {
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	id := r.Header.Get("Attempt-Id")
	if backup := r.Header.Get("Kv-Backup"); backup != "" {
		if s.BackupDelay > 0 {
			timer := time.AfterFunc(s.BackupDelay, func() { s.Copies.Add(backup + "/" + id) })
			defer timer.Stop()
		} else {
			s.Copies.Add(backup + "/" + id)
		}
	}
	closed := make(chan struct{})
	go func() {
		_, _ = br.ReadByte()
		switch {
		case s.ClosesEnds:
			_ = conn.Close()
		case !s.IgnoresEnds:
			_, delay := s.pace()
			time.Sleep(delay)
			close(closed)
		}
	}()
	stopped := s.begin(r)
	defer s.end(r, stopped)
	WriteStreamHeader(conn, r)
	for n := first; n < s.Events; n++ {
		// A failed write shows in the reader of the connection too.
		_ = WriteChunk(conn, Event(id, n))
		pause, _ := s.pace()
		select {
		case <-time.After(pause):
		case <-closed:
			return
		case <-stopped:
			return
		}
	}
	_ = WriteChunk(conn, "")
}

// pace returns the current pause between two events and the time until the end of a connection is noticed.
func (s *Server) pace() (pause, noticeDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Pause + s.slowdown, s.noticeDelay
}

// begin registers a run at work and returns the channel that stops it.
func (s *Server) begin(r *Request) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.BeganAt = time.Now()
	if s.runs == nil {
		s.runs = make(map[string]chan struct{})
	}
	stopped := make(chan struct{})
	s.runs[r.Attempt()] = stopped
	return stopped
}

// end removes a run at work unless another one has its place.
func (s *Server) end(r *Request, stopped chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.EndedAt = time.Now()
	if s.runs[r.Attempt()] == stopped {
		delete(s.runs, r.Attempt())
	}
}

// stop stops a run; it reports whether there was one.
func (s *Server) stop(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stopped, found := s.runs[id]
	if found {
		close(stopped)
		delete(s.runs, id)
	}
	return found
}

// IsAtWork reports whether the server works on a stream.
func (s *Server) IsAtWork(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id] != nil
}

// createCopy registers a copy on demand at the server and returns its handle. With last, it stops the run first.
func (s *Server) createCopy(conn net.Conn, r *Request) {
	var body struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if err := json.Unmarshal([]byte(r.Text), &body); err != nil {
		Reply(conn, r, http.StatusBadRequest, "", "")
		return
	}
	if body.Last && !s.stop(body.ID) {
		Reply(conn, r, http.StatusNotFound, "", "")
		return
	}
	handle := "h-" + body.ID
	s.Copies.Add(s.PublicAddress().String() + "/" + handle)
	Reply(conn, r, http.StatusOK, fmt.Sprintf(`{"kvHandle":%q,"created":1}`, handle), "Content-Type: application/json\r\n")
}

// Add adds a copy with a name, which consists of its address and its handle or attempt ID.
func (c *CopyRegistry) Add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.copies == nil {
		c.copies = make(map[string]bool)
	}
	c.copies[name] = true
}

// Count returns the number of copies that exist.
func (c *CopyRegistry) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.copies)
}

// remove removes the copies with a handle or attempt ID, at any address.
func (c *CopyRegistry) remove(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.copies, func(key string, _ bool) bool { return strings.HasSuffix(key, "/"+name) })
}

// consume removes a copy and reports whether it existed.
func (c *CopyRegistry) consume(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	existed := c.copies[name]
	delete(c.copies, name)
	return existed
}
