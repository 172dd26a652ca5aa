package devel

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/fakes/town"
	"github.com/tarragonspur/tarragonspur/internal/logs"
	"github.com/tarragonspur/tarragonspur/internal/site"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// platformEngines is the number of engines of the trial's platform, platformEvents the number of a report's events.
	platformEngines   = 6
	platformEvents    = 40
	readyPollInterval = 20 * time.Millisecond
)

// TryPlatform starts an entry host on a stand-in for the users' platform, sends one request of each kind, checks the
// answers and stops the host. A wrong answer is ErrTrial.
func TryPlatform(ctx context.Context, out io.Writer, log *slog.Logger) error {
	platform := town.New(platformEngines, platformEvents)
	defer platform.Close()
	settings, err := town.Settings(ctx, 0, platform.Store.Address())
	if err != nil {
		return err
	}
	host, err := site.Build(ctx, settings, logs.NewWriter(io.Discard), log)
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(ctx)
	result := make(chan error, 1)
	go func() { result <- host.Run(runCtx, runCtx) }()
	err = tryPlatformSteps(ctx, out, host, settings.Callers)
	cancel()
	return errors.CombineErrors(err, <-result)
}

// tryPlatformSteps waits until the host is ready, then sends the requests and prints their durations.
func tryPlatformSteps(ctx context.Context, out io.Writer, host *site.Site, callers netip.AddrPort) error {
	for !host.IsReady() {
		if !ticks.Sleep(ctx, readyPollInterval) {
			return errors.Wrap(ctx.Err(), "wait for the host on the platform")
		}
	}
	for _, step := range []struct {
		name, method, path, want string
	}{
		{"platform: long report", http.MethodPost, town.ReportPath, fmt.Sprintf("id: %d\n", platformEvents-1)},
		{"platform: book once", http.MethodPost, town.BookPath, "answer to trial"},
		{"platform: look up", http.MethodGet, town.ReadPath, "answer to trial"},
	} {
		began := time.Now()
		text, err := sendToHost(ctx, callers, step.method, step.path)
		if err != nil {
			return errors.Wrap(err, step.name)
		}
		if !strings.Contains(text, step.want) {
			return errors.Wrapf(ErrTrial, "%s: answer %q does not contain %q", step.name, text, step.want)
		}
		fmt.Fprintf(out, "%-24s %8s  %d bytes\n", step.name, time.Since(began).Round(time.Millisecond), len(text))
	}
	return nil
}

// sendToHost sends a request to the host and returns the answer's body; a status other than 200 is ErrTrial.
func sendToHost(ctx context.Context, callers netip.AddrPort, method, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+callers.String()+path+"x", strings.NewReader("trial"))
	if err != nil {
		return "", errors.Wrap(err, "build request")
	}
	req.Host = town.Host
	req.Header = town.CallerHeader("trial", path)
	resp, err := newClient().Do(req)
	if err != nil {
		return "", errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Wrapf(ErrTrial, "status %d: %s", resp.StatusCode, text)
	}
	return string(text), errors.Wrap(err, "read answer")
}
