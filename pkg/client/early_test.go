package client_test

import (
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/pkg/client"
)

// TestEarlyAnswerOfAHostThatIsResetIsNotComplete guards against a part of an answer that a program gets as the answer to a call.
func TestEarlyAnswerOfAHostThatIsResetIsNotComplete(t *testing.T) {
	for _, ending := range broken.Endings() {
		t.Run(ending.Name, func(t *testing.T) {
			t.Parallel()
			s := broken.EarlyServer{Ending: ending, Answer: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\na part" }}
			c := client.Client{Hosts: []netip.AddrPort{s.Start(t)}, Sendings: 1}
			defer c.Close()
			for range 10 {
				got, err := c.Book(t.Context(), client.Call{Service: "s", Method: http.MethodPost, Path: "/x", Body: make([]byte, 8<<20)})
				if !ending.IsWhole {
					assert.Assert(t, err != nil, "%v looks complete", got)
					continue
				}
				assert.NilError(t, err)
				assert.Equal(t, string(got.Body), "a part")
			}
		})
	}
}
