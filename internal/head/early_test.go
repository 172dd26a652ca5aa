package head_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/head"
)

// TestEarlyAnswerThatIsResetIsNotComplete guards against a part of an answer without a length that a client of net/http takes for the whole
// one, because only the writer of the request learns that the connection was reset.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	const times = 40
	for _, ending := range broken.Endings() {
		t.Run(ending.Name, func(t *testing.T) {
			t.Parallel()
			s := broken.EarlyServer{Ending: ending, Answer: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\na part" }}
			url := "http://" + s.Start(t).String()
			client := head.NewClient(&http.Transport{})
			defer client.CloseIdleConnections()
			complete := 0
			for range times {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(make([]byte, 8<<20)))
				assert.NilError(t, err)
				resp, err := client.Do(req)
				if err != nil {
					continue
				}
				text, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil {
					continue
				}
				assert.Equal(t, string(text), "a part")
				complete++
			}
			if ending.IsWhole {
				assert.Equal(t, complete, times, "complete answers")
			} else {
				assert.Equal(t, complete, 0, "resets that look like complete answers, of %d", times)
			}
		})
	}
}
