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

// meanRequestInterval is the mean time between two requests of one caller.
const meanRequestInterval = 60 * time.Millisecond

// caller sends one request after the other over persistent connections.
type caller struct {
	soak *Soak
	rand *rand.Rand
}

func (c *caller) run(ctx context.Context) {
	// The transport pools connections by host, so open ones are reused until the host's process ends.
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		path := []string{town.ReadPath, town.BookPath, town.ReportPath}[c.rand.IntN(3)]
		id := fmt.Sprintf("%x-%d", c.rand.Uint32(), n)
		host := c.soak.hosts[c.rand.IntN(len(c.soak.hosts))]
		c.soak.recorder.record(c.send(ctx, client, host, path, id))
		select {
		case <-time.After(time.Duration(c.rand.ExpFloat64() * float64(meanRequestInterval))):
		case <-ctx.Done():
		}
	}
}

// send sends one request and returns its outcome.
func (c *caller) send(ctx context.Context, client *http.Client, host *process, path, id string) outcome {
	o := outcome{path: path, id: id, sentAt: time.Now()}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), town.CallerTimeout)
	defer cancel()
	method := http.MethodGet
	if path != town.ReadPath {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(callCtx, method, "http://"+host.settings.Callers.String()+path+"x", strings.NewReader("body of "+id))
	if err != nil {
		o.err = err
		return o
	}
	req.Host = town.Host
	// Keeps the transport from retrying a request by itself.
	req.GetBody = nil
	req.Header = town.CallerHeader(id, path)
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

// expectedBody returns the body of the correct response to a request.
func expectedBody(path, id string) string {
	if path != town.ReportPath {
		return "answer to " + id
	}
	var b strings.Builder
	for n := range events {
		b.WriteString(plat.Event(id, n))
	}
	return b.String()
}
