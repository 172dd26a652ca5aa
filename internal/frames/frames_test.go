package frames

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/head"
)

// write returns the bytes of frames.
func write(t *testing.T, frames func(f *http2.Framer) error) []byte {
	t.Helper()
	var b bytes.Buffer
	f := http2.NewFramer(&b, nil)
	assert.NilError(t, f.WriteSettings())
	assert.NilError(t, f.WriteData(1, false, []byte(strings.Repeat("\x00\x00\x01\x01", 100))))
	assert.NilError(t, frames(f))
	return b.Bytes()
}

// TestHeadsOfHosts also guards against a result that depends on how many bytes arrive together.
func TestHeadsOfHosts(t *testing.T) {
	field := func(name, value string) hpack.HeaderField { return hpack.HeaderField{Name: name, Value: value} }
	sound := broken.Fields(broken.SoundHostHead().Fields)
	none := broken.Fields([]hpack.HeaderField{field(":status", "000"), field("content-type", "application/grpc")})
	for _, tc := range []struct {
		name    string
		frames  func(f *http2.Framer) error
		invalid bool
	}{
		{"head", func(f *http2.Framer) error {
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: sound, EndHeaders: true})
		}, false},
		{"padded head with a priority", func(f *http2.Framer) error {
			p := http2.PriorityParam{StreamDep: 3, Weight: 7}
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: sound, EndHeaders: true, PadLength: 9, Priority: p})
		}, false},
		{"head in two frames", func(f *http2.Framer) error {
			if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: sound[:2]}); err != nil {
				return err
			}
			return f.WriteContinuation(1, true, sound[2:])
		}, false},
		{"interim answer", func(f *http2.Framer) error {
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: broken.Fields([]hpack.HeaderField{field(":status", "103")}), EndHeaders: true})
		}, false},
		{"trailers", func(f *http2.Framer) error {
			b := broken.Fields([]hpack.HeaderField{field("grpc-status", "0"), field("grpc-message", "")})
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: b, EndHeaders: true, EndStream: true})
		}, false},
		{"empty frames", func(f *http2.Framer) error {
			if err := f.WriteData(1, true, nil); err != nil {
				return err
			}
			return f.WriteSettingsAck()
		}, false},
		{"status 000", func(f *http2.Framer) error {
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: none, EndHeaders: true})
		}, true},
		{"status 000 in the second frame", func(f *http2.Framer) error {
			if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1}); err != nil {
				return err
			}
			return f.WriteContinuation(1, true, none)
		}, true},
		{"status 000 in a padded head with a priority", func(f *http2.Framer) error {
			p := http2.PriorityParam{StreamDep: 3, Weight: 7}
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: none, EndHeaders: true, PadLength: 9, Priority: p})
		}, true},
		{"fields that can't be read", func(f *http2.Framer) error {
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0xff, 0xff, 0xff}, EndHeaders: true})
		}, true},
		{"fields without end", func(f *http2.Framer) error {
			if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: sound}); err != nil {
				return err
			}
			for range 10 {
				if err := f.WriteContinuation(1, false, make([]byte, 10<<10)); err != nil {
					return err
				}
			}
			return nil
		}, true},
		{"one frame of fields without end", func(f *http2.Framer) error {
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: make([]byte, 100<<10)})
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := write(t, tc.frames)
			for _, size := range []int{1, 2, 3, 7, 9, 10, 100, len(text)} {
				c := newChecker()
				var err error
				for n := 0; n < len(text) && err == nil; n += size {
					err = c.check(text[n:min(n+size, len(text))])
				}
				assert.Equal(t, errors.Is(err, head.ErrInvalid), tc.invalid, "parts of %d bytes: %v", size, err)
				assert.Equal(t, err != nil, tc.invalid)
			}
		})
	}
}
