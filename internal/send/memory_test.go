package send

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// pool is a Memory.
type pool struct{ left int }

func (p *pool) Take(n int) bool {
	if n > p.left {
		return false
	}
	p.left -= n
	return true
}

func (p *pool) Release(n int) { p.left += n }

func TestHeadsShareMemory(t *testing.T) {
	var headers strings.Builder
	for n := range 500 {
		fmt.Fprintf(&headers, "A-%d: %s\r\n", n, strings.Repeat("x", 100))
	}
	long := "HTTP/1.1 200 OK\r\n" + headers.String() + "Content-Length: 2\r\n\r\nok"
	for _, tc := range []struct {
		name, answer string
		memory       int
		isRefused    bool
	}{
		{"long, memory is free", long, 1 << 20, false},
		{"long, no memory is free", long, 100 << 10, true},
		{"short", "HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 2\r\n\r\nok", 0, false},
		{"short, lines in the body", "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + strings.Repeat("\n", 4000), 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, _ := serve(t, tc.answer, "")
			p := &pool{left: tc.memory}
			answer, err := Open(t.Context(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h", Memory: p})
			if tc.isRefused {
				assert.Assert(t, errors.Is(err, ErrNoMemory) && !errors.IsAny(err, ErrInvalidAnswer, ErrBroken, ErrNotSent), "%v", err)
				assert.Equal(t, p.left, tc.memory, "the memory is free again")
				return
			}
			assert.NilError(t, err)
			answer.Close()
			assert.Equal(t, p.left < tc.memory, tc.answer == long)
		})
	}
}
