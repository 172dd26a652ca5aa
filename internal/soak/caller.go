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
	"github.com/tarragonspur/tarragonspur/internal/head"
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
	client := head.NewClient(&http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true})
	defer client.CloseIdleConnections()
	paths := []string{town.ReadPath, town.BookPath, town.ReportPath}
	if c.soak.HasPathFaults {
		paths = append(paths, town.NotePath)
	}
	for n := 0; ctx.Err() == nil; n++ {
		path := paths[c.rand.IntN(len(paths))]
		id := fmt.Sprintf("%x-%d", c.rand.Uint32(), n)
		host := c.soak.hosts[c.rand.IntN(len(c.soak.hosts))]
		header := town.CallerHeader(id, path)
		isDeadly := path == town.ReportPath && c.soak.DeadlyRatio > 0 && c.rand.Float64() < c.soak.DeadlyRatio
		if path == town.ReportPath && c.soak.DeadlyRatio > 0 {
			town.SetPrompt(header, id, isDeadly)
		}
		isWithdrawn := c.soak.HasRestores && path == town.ReadPath && c.rand.Float64() < withdrawnRatio
		if isWithdrawn {
			header.Set("Key", withdrawnKey)
		}
		o := outcome{isWithdrawn: isWithdrawn, path: path, id: id, host: host.index, isDeadly: isDeadly, sentAt: time.Now()}
		c.soak.owners.add(id, host.index)
		c.send(ctx, client, host, header, &o)
		o.took = time.Since(o.sentAt)
		c.soak.recorder.record(o)
		select {
		case <-time.After(time.Duration(c.rand.ExpFloat64() * float64(meanRequestInterval))):
		case <-ctx.Done():
		}
	}
}

// send sends one request and stores what became of it in its outcome.
func (c *caller) send(ctx context.Context, client *http.Client, host *process, header http.Header, o *outcome) {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), town.CallerTimeout)
	defer cancel()
	method := http.MethodGet
	if o.path != town.ReadPath {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(callCtx, method, "http://"+host.settings.Callers.String()+o.path+"x", strings.NewReader("body of "+o.id))
	if err != nil {
		o.err = err
		return
	}
	req.Host = town.Host
	// Keeps the transport from retrying a request by itself.
	req.GetBody = nil
	req.Header = header
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	o.status, o.body, o.err = resp.StatusCode, string(body), err
	o.signed, o.retryAfter = plat.IsSigned(resp.Header), resp.Header.Get("Retry-After")
}

// expectedBody returns the body of the correct response to a request.
func expectedBody(path, id string) string {
	if path != town.ReportPath && path != town.NotePath {
		return "answer to " + id
	}
	var b strings.Builder
	for n := range events {
		b.WriteString(plat.Event(id, n))
	}
	return b.String()
}
