package engine_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/engine"
)

const wholeStream = `{"request":"r","generation":"g","offset":0,"token":"a "}

{"request":"r","generation":"g","offset":1,"finish":"stop"}
`

func TestDecoderEndsOnlyAtFinish(t *testing.T) {
	tests := []struct {
		name   string
		text   string
		frames int
		want   error
	}{
		{"whole", wholeStream, 2, io.EOF},
		{"more after the end", wholeStream + wholeStream, 2, io.EOF},
		{"cut between frames", wholeStream[:len(wholeStream)/2-2], 1, engine.ErrBroken},
		{"cut inside a frame", wholeStream[:len(wholeStream)-9], 1, engine.ErrBroken},
		{"empty", "", 0, engine.ErrBroken},
		{"not JSON", "<html>", 0, engine.ErrBroken},
		{"no identity", `{"offset":0}`, 0, engine.ErrBroken},
		{"negative offset", `{"request":"r","generation":"g","offset":-1}`, 0, engine.ErrBroken},
		{"line too long", `{"request":"` + strings.Repeat("r", 2<<20), 0, engine.ErrBroken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			frames, err := readAll(engine.NewDecoder(strings.NewReader(tt.text)))
			assert.Equal(t, len(frames), tt.frames)
			assert.Assert(t, errors.Is(err, tt.want), "%v", err)
		})
	}
}

func readAll(d *engine.Decoder) ([]engine.Frame, error) {
	var frames []engine.Frame
	for {
		f, err := d.Next()
		if err != nil {
			return frames, err
		}
		frames = append(frames, f)
	}
}

// FuzzDecoder checks for arbitrary input that each frame has IDs and an offset, and that only a finished stream ends
// with io.EOF.
func FuzzDecoder(f *testing.F) {
	f.Add(wholeStream)
	f.Add(wholeStream[:len(wholeStream)-9])
	f.Add("{}\n[]\nnull\n")
	f.Add(`{"request":"r","generation":"g","offset":1e3,"FINISH":"x"}`)
	f.Fuzz(func(t *testing.T, text string) {
		frames, err := readAll(engine.NewDecoder(strings.NewReader(text)))
		for i, frame := range frames {
			assert.Assert(t, frame.Request != "" && frame.Generation != "" && frame.Offset >= 0)
			assert.Assert(t, frame.Finish == "" || i == len(frames)-1)
		}
		finished := len(frames) > 0 && frames[len(frames)-1].Finish != ""
		assert.Equal(t, errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrBroken), finished)
	})
}

// TestDecoderReadsFramesOfAnySize checks frames around the sizes at which buffers grow, with each kind of line break.
func TestDecoderReadsFramesOfAnySize(t *testing.T) {
	const maxFrameBytes = 1 << 20
	for _, lineBreak := range []string{"\n", "\r\n", "\n\n"} {
		var text strings.Builder
		var sizes []int
		for _, size := range []int{0, 1, 4 << 10, 5 << 10, 16 << 10, 100 << 10, 2, maxFrameBytes - 200, 3} {
			sizes = append(sizes, size)
			text.WriteString(`{"request":"r","generation":"g","offset":0,"token":"` + strings.Repeat("x", size) + `"}` + lineBreak)
		}
		text.WriteString(`{"request":"r","generation":"g","offset":0,"finish":"stop"}`)
		for _, body := range []io.Reader{strings.NewReader(text.String()), iotest.HalfReader(strings.NewReader(text.String()))} {
			frames, err := readAll(engine.NewDecoder(body))
			assert.Assert(t, errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrBroken), "%v", err)
			assert.Equal(t, len(frames), len(sizes)+1)
			for i, size := range sizes {
				assert.Equal(t, len(frames[i].Token), size)
			}
		}
	}
}
