package intake

import "bytes"

// lineBytes is what Go's parser keeps for one line of a head: its place in the map of fields, the map's growth, and two strings;
// and what forwarding copies of that.
const lineBytes = 256

// scanner counts the bytes and lines of one head.
type scanner struct {
	lines, blankLines int
	// hasText is set after the first byte that isn't part of an empty line, lineHasText after such a byte of the current line.
	hasText, lineHasText bool
	isComplete           bool
}

// scan counts bytes that were received, and returns how many of them belong to the head and the lines among those.
func (s *scanner) scan(p []byte) (size, lines int) {
	for size < len(p) && !s.isComplete {
		rest := p[size:]
		end := bytes.IndexByte(rest, '\n')
		line := rest
		if end >= 0 {
			line = rest[:end+1]
		}
		if !s.lineHasText {
			s.lineHasText = len(bytes.Trim(line, "\r\n")) > 0
		}
		size += len(line)
		if end < 0 {
			break
		}
		lines++
		switch {
		case s.lineHasText:
			s.hasText = true
		case s.hasText:
			s.isComplete = true
		default:
			s.blankLines++
		}
		s.lineHasText = false
	}
	s.lines += lines
	return size, lines
}

// cost returns what bytes of a head take in memory.
func cost(size, lines int) int64 { return int64(size + lines*lineBytes) }

// tail is what may remain in the server's read buffer behind a request.
type tail struct{ size, lines int }

// bufferBytes is the size of the read buffer of Go's HTTP server.
const bufferBytes = 4 << 10

// add records bytes that were received after the head.
func (t *tail) add(p []byte) {
	if len(p) > bufferBytes {
		// Longer reads go past the buffer, which is empty then.
		*t = tail{}
		return
	}
	t.size = min(bufferBytes, t.size+len(p))
	t.lines = min(t.size, t.lines+bytes.Count(p, []byte{'\n'}))
}
