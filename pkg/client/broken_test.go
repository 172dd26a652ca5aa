package client_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/pkg/client"
)

// TestBrokenAnswersOfHosts guards against a broken answer that a program gets as the answer to a call or as a stream, or that says that
// its request did not run.
func TestBrokenAnswersOfHosts(t *testing.T) {
	const refusal = `{"error":{"code":"no_backend","message":"m","run":"not_run"}}`
	answer := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	}
	call := client.Call{Service: "s", Method: http.MethodPost, Path: "/x", Body: []byte("b")}
	for _, fault := range broken.Faults() {
		for _, tc := range []struct {
			name, sound string
			send        func(t *testing.T, c *client.Client) error
		}{
			{"booking", answer(http.StatusOK, "whole"), func(t *testing.T, c *client.Client) error {
				_, err := c.Book(t.Context(), call)
				return err
			}},
			{"refused booking", answer(http.StatusServiceUnavailable, refusal), func(t *testing.T, c *client.Client) error {
				_, err := c.Book(t.Context(), call)
				return err
			}},
			{"look-up", answer(http.StatusOK, "whole"), func(t *testing.T, c *client.Client) error {
				_, err := c.Do(t.Context(), call)
				return err
			}},
			{"stream", answer(http.StatusOK, "data: {\"choices\":[{\"text\":\"t\"}]}\n\n"+streamEnd), func(t *testing.T, c *client.Client) error {
				for token, err := range c.Stream(t.Context(), client.Prompt{Model: "m", Text: "p"}) {
					if err != nil {
						return err
					}
					assert.Equal(t, token, "", "no token")
				}
				return nil
			}},
		} {
			t.Run(fault.Name+"/"+tc.name, func(t *testing.T) {
				t.Parallel()
				s := &broken.Server{Answer: func(*http.Request) string { return fault.Apply(tc.sound) }}
				c := &client.Client{Hosts: []netip.AddrPort{s.Start(t)}, Key: "k", Sendings: 2}
				t.Cleanup(c.Close)
				err := tc.send(t, c)
				assert.Assert(t, errors.Is(err, client.ErrConnection) && errors.Is(err, client.ErrMayHaveRun), "%v", err)
				requests := s.Requests()
				assert.Equal(t, len(requests), 2)
				assert.Equal(t, requests[1].Header.Get("Idempotency-Key"), requests[0].Header.Get("Idempotency-Key"))
			})
		}
	}
}

// TestBrokenAnswersToAClientOfTheProgram guards against broken answers that a program's own HTTP client takes for sound ones.
func TestBrokenAnswersToAClientOfTheProgram(t *testing.T) {
	for _, tc := range []struct{ name, answer string }{
		{"status", "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole"},
		{"change of protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
		{"name of a field", "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 5\r\n\r\nwhole"},
		{"name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwhole and more"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &broken.Server{Answer: func(*http.Request) string { return tc.answer }}
			c := &client.Client{Hosts: []netip.AddrPort{s.Start(t)}, Key: "k", HTTP: &http.Client{}, Sendings: 1}
			_, err := c.Book(t.Context(), client.Call{Service: "s", Method: http.MethodPost, Path: "/x"})
			assert.Assert(t, errors.Is(err, client.ErrConnection) && errors.Is(err, client.ErrMayHaveRun), "%v", err)
		})
	}
}
