package front_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/front"
)

// sendCodec calls a function before each send of a request.
type sendCodec struct {
	front.HeaderCodec

	beforeSend func()
}

func (c sendCodec) Encode(call front.Call, s front.ForwardMetadata) http.Header {
	c.beforeSend()
	return c.HeaderCodec.Encode(call, s)
}

// isEnded reports whether the other end of a connection has closed it; it does not let other goroutines run.
func isEnded(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		for began := time.Now(); !ended && time.Since(began) < time.Millisecond; {
			n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN
		}
	})
	return ended || err != nil
}

// TestConnectionOfARunIsClosedBeforeTheNextSend guards against a request that is sent to the next backend server while the connection to the
// one before is open: where servers can't stop runs, its close is all that ends them.
func TestConnectionOfARunIsClosedBeforeTheNextSend(t *testing.T) {
	for _, tc := range []struct {
		name string
		// isUnframed is set if the end of the connection is the end of the answer.
		isUnframed bool
		// leave makes the stream leave its server, or the server writes an event without a number.
		leave bool
	}{
		{"an event has no number", false, false},
		{"its server leaves", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			r := newRig(t, 4)
			r.Log = slog.New(slog.DiscardHandler)
			next := table()
			next.Version, next.Services["model"].Engine.SupportsMigration = 2, false
			r.Tables.PutIfNewer(next)
			var source atomic.Pointer[net.Conn]
			var sends, open atomic.Int32
			r.HeaderCodec = sendCodec{r.HeaderCodec, func() {
				sends.Add(1)
				if conn := source.Load(); conn != nil && !isEnded(*conn) {
					open.Add(1)
				}
			}}
			for _, e := range r.engines {
				e.Events, e.Pause = 80, 20*time.Millisecond
				e.Script = func(conn net.Conn, q *plat.Request) bool {
					switch {
					case q.URL.Path == movePath:
						plat.Reply(conn, q, http.StatusNotFound, "", "")
						return true
					case q.GoesOn() || q.Header.Get("Token-Usage") == "":
						return false
					}
					e.MarkRun(q)
					r.copies.Add(q.Header.Get("Kv-Backup") + "/" + attempt)
					source.Store(&conn)
					writeEvents(conn, q, e, tc.isUnframed, !tc.leave)
					return true
				}
			}
			ask := streamRequest("/note/x")
			ask.headers["Deadline-Ms"] = "3000"
			answers := make(chan reply, 1)
			go func() { answers <- r.do(t, ask) }()
			first := r.runningEngine(t)
			if tc.leave {
				time.Sleep(700 * time.Millisecond)
				r.put(r.index(first), true)
			}
			got := <-answers
			assert.NilError(t, got.err)
			assert.Equal(t, sends.Load(), int32(2))
			assert.Equal(t, open.Load(), int32(0), "sends beside an open connection to the server before")
		})
	}
}

// writeEvents writes the events of a server's stream until its connection is closed, the 60th perhaps without a number.
func writeEvents(conn net.Conn, q *plat.Request, e *plat.Server, isUnframed, breaksOff bool) {
	if isUnframed {
		writeUnframed(conn, "HTTP/1.1", "")
	} else {
		plat.WriteStreamHeader(conn, q)
	}
	for n := range e.Events {
		event := plat.Event(attempt, n)
		if breaksOff && n == 60 {
			event = "id: none\ndata: x\n\n"
		}
		var err error
		if isUnframed {
			_, err = io.WriteString(conn, event)
		} else {
			err = plat.WriteChunk(conn, event)
		}
		if err != nil {
			return
		}
		time.Sleep(e.Pause)
	}
}
