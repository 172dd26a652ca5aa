package flow

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestReader(t *testing.T) {
	tests := []struct {
		name, body string
		events     []string
		end        error
	}{
		{"empty", "", nil, io.EOF},
		{"two events", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", []string{"id: 0\ndata: a\n\n", "id: 1\ndata: b\n\n"}, io.EOF},
		{"carriage returns", "id: 0\r\ndata: a\r\n\r\nid: 1\r\n\r\n", []string{"id: 0\r\ndata: a\r\n\r\n", "id: 1\r\n\r\n"}, io.EOF},
		{"ends inside an event", "id: 0\n\nid: 1\nda", []string{"id: 0\n\n"}, io.ErrUnexpectedEOF},
		{"ends before the empty line", "id: 0\n", nil, io.ErrUnexpectedEOF},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			for _, body := range []io.Reader{strings.NewReader(tc.body), iotest.OneByteReader(strings.NewReader(tc.body))} {
				r := Reader{Body: body}
				for _, want := range tc.events {
					event, err := r.Next()
					assert.NilError(t, err)
					assert.Equal(t, string(event), want)
				}
				_, err := r.Next()
				assert.ErrorIs(t, err, tc.end)
			}
		})
	}
}

func TestReaderBoundsAnEvent(t *testing.T) {
	r := Reader{Body: strings.NewReader(strings.Repeat("x", 2*maxEventBytes))}
	_, err := r.Next()
	assert.Assert(t, errors.Is(err, ErrEventTooLarge))
}

func TestID(t *testing.T) {
	tests := []struct{ event, want string }{
		{"id: 7\ndata: x\n\n", "7"},
		{"id:7\r\n\r\n", "7"},
		{"weight-versions: 3\nid: 8\n\n", "8"},
		{"data: id: 9\n\n", ""},
	}
	for _, tc := range tests {
		assert.Equal(t, ID([]byte(tc.event)), tc.want, tc.event)
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 0\n\nid: 1\r\n\r\nrest"))
	f.Fuzz(func(t *testing.T, body []byte) {
		r := Reader{Body: strings.NewReader(string(body))}
		whole := 0
		for {
			event, err := r.Next()
			if err != nil {
				break
			}
			whole += len(event)
		}
		assert.Assert(t, whole <= len(body))
	})
}

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

func TestReadersShareTheMemoryForLargeEvents(t *testing.T) {
	const memory = 2 << 20
	p := &pool{left: memory}
	large := strings.Repeat("x", 900<<10)
	holding := Reader{Body: strings.NewReader(large + "\n\nsmall\n\n"), Memory: p}
	_, err := holding.Next()
	assert.NilError(t, err)
	assert.Assert(t, p.left < memory)
	refused := Reader{Body: strings.NewReader(large + large), Memory: p}
	_, err = refused.Next()
	assert.ErrorIs(t, err, ErrNoMemory)
	small := Reader{Body: strings.NewReader("small\n\n"), Memory: &pool{}}
	_, err = small.Next()
	assert.NilError(t, err)
	refused.Close()
	holding.Close()
	assert.Equal(t, p.left, memory)
}
