package head_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/head"
)

const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// get makes a call that http.Transport sends again by itself if its answer has not begun on a connection that was used before.
func get(t *testing.T, c *http.Client, url string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	assert.NilError(t, err)
	resp, err := c.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// TestBrokenAnswersOnKeptConnections guards against broken answers that pass unseen after a sound one, or whose calls are sent again.
func TestBrokenAnswersOnKeptConnections(t *testing.T) {
	tests := []struct{ name, text string }{
		{"no HTTP from the first byte", "\x00\x01\x02"},
		{"empty lines", "\r\n\r\n"},
		{"one byte", "h"},
	}
	for _, fault := range broken.Faults() {
		tests = append(tests, struct{ name, text string }{fault.Name, fault.Apply(soundAnswer)})
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := &broken.Server{KeepsOpen: true, Answer: func(r *http.Request) string {
				if r.URL.Path == "/sound" {
					return soundAnswer
				}
				return tc.text
			}}
			url := "http://" + s.Start(t).String()
			c := head.NewClient(&http.Transport{})
			defer c.CloseIdleConnections()
			for range 2 {
				text, err := get(t, c, url+"/sound")
				assert.NilError(t, err)
				assert.Equal(t, text, "whole")
			}
			_, err := get(t, c, url+"/broken")
			assert.Assert(t, errors.Is(err, head.ErrInvalid), "%v", err)
			assert.Equal(t, len(s.Requests()), 3)
		})
	}
}

// TestConnectionsAreKept guards against a check that ends the use of connections, or that takes a body for a head.
func TestConnectionsAreKept(t *testing.T) {
	const rounds = 20
	body := "HTTP/1.1 000 \r\nX Odd: 1\r\n\r\n"
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</a>")
		w.WriteHeader(http.StatusEarlyHints)
		_, _ = io.WriteString(w, body)
	}))
	var opened atomic.Int32
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := head.NewClient(&http.Transport{})
	defer c.CloseIdleConnections()
	for range rounds {
		text, err := get(t, c, server.URL)
		assert.NilError(t, err)
		assert.Equal(t, text, body)
	}
	assert.Equal(t, opened.Load(), int32(1))
}

func TestEncryptedConnections(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	defer server.Close()
	trusted := server.Client().Transport.(*http.Transport).TLSClientConfig
	for _, tc := range []struct {
		name   string
		config *tls.Config
		isOK   bool
	}{
		{"trusted", trusted, true},
		{"another name", &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: trusted.RootCAs, ServerName: "other.invalid"}, false},
		{"not trusted", nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := head.NewClient(&http.Transport{TLSClientConfig: tc.config})
			defer c.CloseIdleConnections()
			text, err := get(t, c, server.URL)
			assert.Equal(t, err == nil, tc.isOK, "%v", err)
			assert.Equal(t, text == "whole", tc.isOK)
		})
	}
}
