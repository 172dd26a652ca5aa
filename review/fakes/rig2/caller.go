package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is one request of a consumer on a channel of its own.
type call struct {
	id, host, path, usage string
	deadline              time.Duration
	body                  string
}

// outcome is what the consumer has seen.
type outcome struct {
	id string
	// status is that of the answer, 0 if the channel ended without one.
	status int
	// events is the number of whole events that came; isWhole is set if the answer ended as complete.
	events  int
	isWhole bool
	err     error
	// sentAt is when the last byte was sent, endedAt when the answer or the channel ended.
	sentAt, endedAt time.Time
}

var attempts atomic.Int64

// newID returns an ID for an attempt.
func newID() string { return fmt.Sprintf("a%015x", attempts.Add(1)+started.UnixNano()%1_000_000_000) }

func (c call) head() string {
	method := "GET"
	if c.usage != "" || c.body != "" {
		method = "POST"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\n", method, c.path, c.host, c.id, c.deadline.Milliseconds(), key)
	if c.usage != "" {
		fmt.Fprintf(&b, "Model: m\r\nToken-Usage: %s\r\nPrefix-Hash: 5c1e07a2:79,%s:100\r\n", c.usage, c.id[len(c.id)-8:])
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	return b.String() + "\r\n"
}

// do sends the request to a host and reads the answer.
func (c call) do(to string, rec *record) (o outcome) {
	o.id = c.id
	defer func() {
		o.endedAt = time.Now()
		rec.line("consumer: %s ends: status %d, %d events, whole %t, error %v", c.id, o.status, o.events, o.isWhole, o.err)
	}()
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	if _, err := io.WriteString(conn, c.head()+c.body); err != nil {
		o.err = err
		return o
	}
	o.sentAt = time.Now()
	rec.line("consumer: %s sent to %s %s", c.id, to, c.path)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		o.err = err
		return o
	}
	o.status = resp.StatusCode
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			o.events++
		}
		if err != nil {
			o.isWhole = err == io.EOF
			if !o.isWhole {
				o.err = err
			}
			return o
		}
	}
}
