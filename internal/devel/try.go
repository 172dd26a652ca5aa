package devel

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/tarragonspur/tarragonspur/internal/head"
)

// ErrTrial means that the trial got a wrong answer.
var ErrTrial = errors.New("trial failed")

// reportTokens is the number of tokens that the trial's stream asks for.
const reportTokens = 64

// Try sends one request of each kind, checks the answers and prints them with their durations. A wrong answer is ErrTrial.
func (v *Deployment) Try(ctx context.Context, out io.Writer) error {
	spec := v.Spec
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"stream one long report", v.tryStream},
		{"book once", v.tryBooking},
		{"classify", func(ctx context.Context) (string, error) {
			return v.tryPlain(ctx, http.MethodPost, spec.ClassifyPath, http.StatusOK)
		}},
		{"read the catalogue", func(ctx context.Context) (string, error) {
			return v.tryPlain(ctx, http.MethodGet, spec.CataloguePath, http.StatusOK)
		}},
	}
	for _, s := range steps {
		began := time.Now()
		result, err := s.run(ctx)
		if err != nil {
			return errors.Wrap(err, s.name)
		}
		fmt.Fprintf(out, "%-24s %8s  %s\n", s.name, time.Since(began).Round(time.Millisecond), result)
	}
	return nil
}

func (v *Deployment) tryStream(ctx context.Context) (string, error) {
	body, err := json.Marshal(map[string]any{"model": v.Spec.ModelService, "prompt": v.Spec.Prompt, "max_tokens": reportTokens, "stream": true})
	if err != nil {
		return "", errors.Wrap(err, "encode request")
	}
	resp, err := send(ctx, v.CallerAddrs[0], http.MethodPost, "/v1/completions", body, "")
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	tokens := 0
	lastEvent := ""
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return "", errors.Wrap(err, "read stream")
		}
		lastEvent = event.Data
		if strings.Contains(event.Data, `"text":"`) && !strings.Contains(event.Data, `"text":""`) {
			tokens++
		}
	}
	if tokens != reportTokens || lastEvent != "[DONE]" {
		return "", errors.Wrapf(ErrTrial, "got %d tokens and last event %q", tokens, lastEvent)
	}
	return fmt.Sprintf("%d tokens", tokens), nil
}

// tryBooking sends one booking with the same idempotency key to every host. It must run once, and all hosts must return
// the same answer.
func (v *Deployment) tryBooking(ctx context.Context) (string, error) {
	const key = "booking-of-the-trial"
	body := []byte(`{"slot":"kiln 2, Tuesday 06:00"}`)
	path := "/v1/services/" + v.Spec.PlainService + v.Spec.BookingPath
	before := len(v.RunLog.Runs())
	var first string
	for i, host := range v.CallerAddrs {
		text, err := book(ctx, host, path, body, key)
		if err != nil {
			return "", err
		}
		if i == 0 {
			first = text
		}
		if text != first {
			return "", errors.Wrapf(ErrTrial, "host %d answered %s, but the first host answered %s", i, text, first)
		}
	}
	if runs := len(v.RunLog.Runs()) - before; runs != 1 {
		return "", errors.Wrapf(ErrTrial, "the booking ran %d times instead of once", runs)
	}
	return fmt.Sprintf("one run, %d hosts gave the same answer: %s", len(v.CallerAddrs), first), nil
}

// book returns the answer to a booking.
func book(ctx context.Context, host netip.AddrPort, path string, body []byte, key string) (string, error) {
	resp, err := send(ctx, host, http.MethodPost, path, body, key)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusCreated {
		return "", errors.Wrapf(ErrTrial, "status %d: %s", resp.StatusCode, text)
	}
	return string(bytes.TrimSpace(text)), nil
}

// tryPlain calls the plain service and returns its answer, which must have the wanted status.
func (v *Deployment) tryPlain(ctx context.Context, method, path string, want int) (string, error) {
	resp, err := send(ctx, v.CallerAddrs[0], method, "/v1/services/"+v.Spec.PlainService+path, []byte(`{"note":"grey ash, low smoke"}`), "")
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != want {
		return "", errors.Wrapf(ErrTrial, "status %d: %s", resp.StatusCode, text)
	}
	return string(bytes.TrimSpace(text)), nil
}

// send sends a request with the caller's key; an empty idempotency key is not sent.
func send(ctx context.Context, addr netip.AddrPort, method, path string, body []byte, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := newClient().Do(req)
	return resp, errors.Wrap(err, "send request")
}

// newClient returns a client for one request.
func newClient() *http.Client { return head.NewClient(&http.Transport{DisableKeepAlives: true}) }
