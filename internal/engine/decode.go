package engine

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/flow"
)

// Decoder reads the frames of one stream, one JSON object per line of at most 1 MiB.
type Decoder struct {
	lines flow.Reader
	ended bool
}

// NewDecoder returns a decoder that reads a stream from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{lines: flow.Reader{Body: r, HasLines: true}}
}

// Next returns the next frame. It returns io.EOF after the frame that has Finish set, and an error marked
// ErrBroken if the stream ends before that frame or contains an invalid one.
func (d *Decoder) Next() (Frame, error) {
	if d.ended {
		return Frame{}, io.EOF
	}
	for {
		line, err := d.lines.Next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Frame{}, errors.Mark(errors.Wrap(err, "read frame"), ErrBroken)
		}
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 {
			return d.frame(line)
		}
	}
}

func (d *Decoder) frame(line []byte) (Frame, error) {
	var f Frame
	if err := json.Unmarshal(line, &f); err != nil {
		return Frame{}, errors.Mark(errors.Wrap(err, "decode frame"), ErrBroken)
	}
	if f.Request == "" || f.Generation == "" || f.Offset < 0 {
		return Frame{}, errors.Wrap(ErrBroken, "frame without identity or with a negative offset")
	}
	d.ended = f.Finish != ""
	return f, nil
}
