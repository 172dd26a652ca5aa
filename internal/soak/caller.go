package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/tarragonspur/tarragonspur/internal/fakes/plat"
	"github.com/tarragonspur/tarragonspur/internal/fakes/town"
)

// callerPause is the mean time between two requests of one caller.
const callerPause = 60 * time.Millisecond

// caller sends one request after the other over connections that it keeps as long as the hosts do.
type caller struct {
	soak *Soak
	rand *rand.Rand
}

func (c *caller) run(ctx context.Context) {
	// Each host has a client of its own, so that open connections are used until the process is gone.
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		kind := []string{town.ReadPath, town.BookPath, town.ReportPath}[c.rand.IntN(3)]
		id := fmt.Sprintf("%x-%d", c.rand.Uint32(), n)
		host := c.soak.hosts[c.rand.IntN(len(c.soak.hosts))]
		c.soak.book.note(c.ask(ctx, client, host, kind, id))
		select {
		case <-time.After(time.Duration(c.rand.ExpFloat64() * float64(callerPause))):
		case <-ctx.Done():
		}
	}
}

// ask sends one request and returns what came of it.
func (c *caller) ask(ctx context.Context, client *http.Client, host *process, kind, id string) outcome {
	o := outcome{kind: kind, id: id, at: time.Now()}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), town.Patience)
	defer cancel()
	method := http.MethodGet
	if kind != town.ReadPath {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(limited, method, "http://"+host.settings.Callers.String()+kind+"x", strings.NewReader("body of "+id))
	if err != nil {
		o.err = err
		return o
	}
	req.Host = town.Host
	// The transport must not repeat a request by itself.
	req.GetBody = nil
	req.Header = town.CallerHeader(id, kind)
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	o.status, o.body, o.err = resp.StatusCode, string(body), err
	o.signed = plat.IsSigned(resp.Header)
	return o
}

// whole is the right answer to a request.
func whole(kind, id string) string {
	if kind != town.ReportPath {
		return "answer to " + id
	}
	var b strings.Builder
	for n := range events {
		b.WriteString(plat.Event(id, n))
	}
	return b.String()
}
