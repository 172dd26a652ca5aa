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
	// townEngines and townEvents are the sizes of the trial's platform.
	townEngines = 6
	townEvents  = 40
	readyPoll   = 20 * time.Millisecond
)

// TryPlatform runs an entry host on a stand-in of the users' platform, sends one request of each kind, checks the
// answers and stops.
func TryPlatform(ctx context.Context, out io.Writer, log *slog.Logger) error {
	place := town.New(townEngines, townEvents)
	defer place.Close()
	settings, err := town.Settings(ctx, 0, place.Store.Address())
	if err != nil {
		return err
	}
	host, err := site.Build(ctx, settings, logs.NewWriter(io.Discard), log)
	if err != nil {
		return err
	}
	abort, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- host.Run(abort, abort) }()
	err = tryTown(ctx, out, host, settings.Callers)
	cancel()
	return errors.CombineErrors(err, <-ended)
}

func tryTown(ctx context.Context, out io.Writer, host *site.Site, callers netip.AddrPort) error {
	for !host.IsReady() {
		if !ticks.Sleep(ctx, readyPoll) {
			return errors.Wrap(ctx.Err(), "wait for the host on the platform")
		}
	}
	for _, step := range []struct {
		name, method, path, want string
	}{
		{"platform: long report", http.MethodPost, town.ReportPath, fmt.Sprintf("id: %d\n", townEvents-1)},
		{"platform: book once", http.MethodPost, town.BookPath, "answer to trial"},
		{"platform: look up", http.MethodGet, town.ReadPath, "answer to trial"},
	} {
		began := time.Now()
		text, err := askTown(ctx, callers, step.method, step.path)
		if err != nil {
			return errors.Wrap(err, step.name)
		}
		if !strings.Contains(text, step.want) {
			return errors.Wrapf(ErrTry, "%s: %q lacks %q", step.name, text, step.want)
		}
		fmt.Fprintf(out, "%-24s %8s  %d bytes\n", step.name, time.Since(began).Round(time.Millisecond), len(text))
	}
	return nil
}

func askTown(ctx context.Context, callers netip.AddrPort, method, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+callers.String()+path+"x", strings.NewReader("trial"))
	if err != nil {
		return "", errors.Wrap(err, "build request")
	}
	req.Host = town.Host
	req.Header = town.CallerHeader("trial", path)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Wrapf(ErrTry, "status %d: %s", resp.StatusCode, text)
	}
	return string(text), errors.Wrap(err, "read answer")
}
