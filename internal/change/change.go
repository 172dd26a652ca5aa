// Package change defines the versioned changes of the configuration and the state that results from applying them.
//
// The changes form one log: each change is an object whose key is derived from its version, so a conditional create
// decides between concurrent writers. The log is also the audit trail.
package change

import (
	"bytes"
	"compress/gzip"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// BucketSize is the number of changes whose keys share a prefix.
	BucketSize = 64
	// KeySnapshot is the key of the snapshot after which a starting host reads the log.
	KeySnapshot = object.PrefixConfig + "base"
	// MaxBytes limits the size of a decompressed change or snapshot.
	MaxBytes = 32 << 20

	// compressThreshold is the size in bytes from which changes and snapshots are compressed.
	compressThreshold = 4 << 10
)

// Sentinel errors of decoding and applying changes.
var (
	// ErrDecode says that the data is not a valid change or snapshot.
	ErrDecode = errors.New("invalid configuration change or snapshot")
	// ErrStale says that a change is not newer than the state.
	ErrStale = errors.New("change is not newer than the state")
	// ErrGap says that changes between the state and the change are missing.
	ErrGap = errors.New("preceding changes are missing")
	// ErrFork says that the change and the state have different histories.
	ErrFork = errors.New("change belongs to a different history")
	// ErrTooLarge says that an encoded change exceeds the object API's size limit.
	ErrTooLarge = errors.New("change is too large for one object")
)

// Version is the number of a change, from 1; zero is the empty configuration.
type Version uint64

// Change is one change of the configuration, with its operator, time and edits.
type Change struct {
	Version Version `json:"version"`
	// ID is random; a writer whose response was lost recognizes its own change by it.
	ID string `json:"id"`
	// Previous is the ID of the change before this one.
	Previous string    `json:"previous"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Reason   string    `json:"reason,omitempty"`
	Edits    []Edit    `json:"edits"`
}

// Edit replaces the item From by To; a nil From creates the item, a nil To deletes it.
type Edit struct {
	From *Item `json:"from"`
	To   *Item `json:"to"`
}

// Item is one part of the configuration; exactly one field is set.
type Item struct {
	Service   *config.Service   `json:"service,omitempty"`
	Workspace *config.Workspace `json:"workspace,omitempty"`
	Backend   *config.Backend   `json:"backend,omitempty"`
	Row       *config.Row       `json:"row,omitempty"`
	Domain    *config.Domain    `json:"domain,omitempty"`
}

// Name returns the item's kind and name, such as "row oak/assay-model".
func (i *Item) Name() string {
	switch {
	case i == nil:
		return ""
	case i.Service != nil:
		return "service " + i.Service.Name
	case i.Workspace != nil:
		return "workspace " + i.Workspace.Name
	case i.Backend != nil:
		return "backend " + i.Backend.Name
	case i.Row != nil:
		return "row " + i.Row.Workspace + "/" + i.Row.Service
	case i.Domain != nil:
		return "domain " + i.Domain.Name
	default:
		return ""
	}
}

// Name returns the kind and name of the edited item.
func (e Edit) Name() string {
	if e.To != nil {
		return e.To.Name()
	}
	return e.From.Name()
}

// Entry is a change and its encoded form, which hosts forward unchanged.
type Entry struct {
	Change Change
	Raw    []byte
}

// NewID returns a random change ID.
func NewID() string { return rand.Text() }

// Key returns the object key of the change with a version.
func Key(v Version) string { return fmt.Sprintf("%s%012d", Bucket(v), v) }

// Bucket returns the key prefix of the bucket of BucketSize versions that a version belongs to.
func Bucket(v Version) string {
	return fmt.Sprintf("%s%010d/", object.PrefixAudit, uint64(v)/BucketSize)
}

// Encode encodes a change as JSON, compressed from compressThreshold on. The error is ErrTooLarge if the result does
// not fit one object.
func Encode(c Change) (Entry, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return Entry{}, errors.Wrap(err, "encode change")
	}
	raw, err := compress(text)
	if err != nil {
		return Entry{}, err
	}
	if len(raw) > object.MaxValueBytes {
		return Entry{}, errors.Wrapf(ErrTooLarge, "%d bytes after compression", len(raw))
	}
	return Entry{Change: c, Raw: raw}, nil
}

// Decode decodes and validates a change; the error is marked ErrDecode.
func Decode(raw []byte) (Entry, error) {
	text, err := decompress(raw)
	if err != nil {
		return Entry{}, err
	}
	var c Change
	if err := json.Unmarshal(text, &c); err != nil {
		return Entry{}, errors.Mark(errors.Wrap(err, "decode change"), ErrDecode)
	}
	if err := c.validate(); err != nil {
		return Entry{}, err
	}
	return Entry{Change: c, Raw: raw}, nil
}

func (c *Change) validate() error {
	if c.Version == 0 || c.ID == "" {
		return errors.Wrap(ErrDecode, "version or ID is missing")
	}
	for i, e := range c.Edits {
		if !e.From.isValid() || !e.To.isValid() || e.From == nil && e.To == nil {
			return errors.Wrapf(ErrDecode, "edits[%d] must name exactly one item", i)
		}
		if e.From != nil && e.To != nil && e.From.Name() != e.To.Name() {
			return errors.Wrapf(ErrDecode, "edits[%d] replaces an item by one with a different name", i)
		}
	}
	return nil
}

// isValid reports whether the item is nil or has exactly one field set.
func (i *Item) isValid() bool {
	if i == nil {
		return true
	}
	set := 0
	for _, isSet := range []bool{i.Service != nil, i.Workspace != nil, i.Backend != nil, i.Row != nil, i.Domain != nil} {
		if isSet {
			set++
		}
	}
	return set == 1
}

// compress compresses text with gzip, unless it is smaller than compressThreshold.
func compress(text []byte) ([]byte, error) {
	if len(text) < compressThreshold {
		return text, nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return b.Bytes(), nil
}

// decompress returns the decompressed text, or raw itself if it does not start with the gzip magic number.
func decompress(raw []byte) ([]byte, error) {
	if !strings.HasPrefix(string(raw[:min(2, len(raw))]), "\x1f\x8b") {
		return raw, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decompress"), ErrDecode)
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decompress"), ErrDecode)
	}
	if len(text) > MaxBytes {
		return nil, errors.Wrap(ErrDecode, "size limit exceeded after decompression")
	}
	return text, nil
}
