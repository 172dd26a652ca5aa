package engine

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	firstLineBytes = 4 << 10
	maxLineBytes   = 1 << 20
)

// Decoder reads the frames of one stream, one JSON object per line of at most 1 MiB.
type Decoder struct {
	lines *bufio.Scanner
	ended bool
}

// NewDecoder returns a decoder that reads a stream from r.
func NewDecoder(r io.Reader) *Decoder {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, firstLineBytes), maxLineBytes)
	return &Decoder{lines: s}
}

// Next returns the next frame. It returns io.EOF after the frame that has Finish set, and an error marked
// ErrBroken if the stream ends before that frame or contains an invalid one.
func (d *Decoder) Next() (Frame, error) {
	if d.ended {
		return Frame{}, io.EOF
	}
	for d.lines.Scan() {
		if len(d.lines.Bytes()) > 0 {
			return d.frame(d.lines.Bytes())
		}
	}
	err := d.lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return Frame{}, errors.Mark(errors.Wrap(err, "read frame"), ErrBroken)
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
