package head_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/head"
)

// check passes a text to a new Checker in parts of a size and returns the number of valid bytes.
func check(text string, size int) (int, error) {
	var c head.Checker
	for n := 0; n < len(text); n += size {
		part := text[n:min(n+size, len(text))]
		if valid, err := c.Check([]byte(part)); err != nil {
			return n + valid, err
		}
	}
	return len(text), nil
}

func TestSoundHeads(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"fields and a body", "HTTP/1.1 200 OK\r\nA: 1\r\nB-C:2\r\nD:\r\n\r\n: body \x00\r\n of any bytes"},
		{"no fields", "HTTP/1.1 204 No Content\r\n\r\n"},
		{"older version", "HTTP/1.0 200 OK\r\nA: 1\r\n\r\nbody"},
		{"no reason", "HTTP/1.1 200\r\nA: 1\r\n\r\n"},
		{"an empty reason", "HTTP/1.1 599 \r\nA: 1\r\n\r\n"},
		{"bare line feeds", "HTTP/1.1 200 OK\nA: 1\n\nbody"},
		{"blanks and colons in a value", "HTTP/1.1 200 OK\r\nA:  b : c\t\r\n\r\n"},
		{"all kinds of names", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n"},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n000"},
		{"cut", "HTTP/1.1 200 OK\r\nContent-Le"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for size := 1; size <= len(tc.text); size++ {
				_, err := check(tc.text, size)
				assert.NilError(t, err, "parts of %d bytes", size)
			}
		})
	}
}

// TestBrokenHeads also guards against a result that depends on how many bytes arrive together.
func TestBrokenHeads(t *testing.T) {
	tests := []struct {
		name, text string
		// valid is the text before the first invalid byte.
		valid string
	}{
		{"no HTTP", "error: out of memory\r\n\r\n", ""},
		{"another version", "HTTP/2.0 200 OK\r\n\r\n", "HTTP/"},
		{"a status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 200"},
		{"a status of two digits", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 20"},
		{"status 000", "HTTP/1.1 000 \r\n\r\n", "HTTP/1.1 000"},
		{"status 600", "HTTP/1.1 600 \r\n\r\n", "HTTP/1.1 600"},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nA B: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nA"},
		{"a line that goes on with a field", "HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nA: 1\r\n"},
		{"a control byte at the end of the head", "HTTP/1.1 200 OK\r\nA: 1\r\n\r\r\n", "HTTP/1.1 200 OK\r\nA: 1\r\n\r"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			for size := 1; size <= len(tc.text); size++ {
				n, err := check(tc.text, size)
				assert.Assert(t, errors.Is(err, head.ErrInvalid), "%v", err)
				assert.Equal(t, tc.text[:n], tc.valid, "parts of %d bytes", size)
			}
		})
	}
	sound := "HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 4\r\n\r\nbody"
	for _, fault := range broken.Faults() {
		t.Run(fault.Name, func(t *testing.T) {
			text := fault.Apply(sound)
			want, err := check(text, len(text))
			assert.Assert(t, errors.Is(err, head.ErrInvalid), "%v", err)
			assert.Assert(t, want < strings.LastIndex(text, "body"), "%d", want)
			for size := 1; size <= len(text); size++ {
				n, err := check(text, size)
				assert.Assert(t, errors.Is(err, head.ErrInvalid), "%v", err)
				assert.Equal(t, n, want, "parts of %d bytes", size)
			}
		})
	}
}
