// Package change defines the numbered changes of the configuration and the state that they add up to.
//
// The changes form one log: change n+1 is the object that was created under the key of n+1, so a
// conditional create decides between racing writers. The log is the audit trail as well.
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
	// KeySnapshot is the key of the snapshot from which a starting host reads the log.
	KeySnapshot = object.PrefixConfig + "base"
	// MaxBytes bounds a change or a snapshot after decompression.
	MaxBytes = 32 << 20

	compressFrom = 4 << 10
)

// Sentinel errors of decoding and applying changes.
var (
	// ErrDecode says that bytes are not a change or a snapshot.
	ErrDecode = errors.New("not a change of the configuration")
	// ErrOld says that a change is not newer than the state.
	ErrOld = errors.New("change is not newer than the state")
	// ErrGap says that changes between the state and the change are missing.
	ErrGap = errors.New("changes are missing before this one")
	// ErrFork says that the change does not follow the state's last change.
	ErrFork = errors.New("change follows another history")
	// ErrTooLarge says that a change is over the object API's limit.
	ErrTooLarge = errors.New("change is too large for one object")
)

// Version numbers the changes from 1; zero stands for the empty configuration.
type Version uint64

// Change is one accepted change: who, when, from what, to what.
type Change struct {
	Version Version `json:"version"`
	// ID is random, so that a writer recognizes its own change when the answer was lost.
	ID string `json:"id"`
	// Previous is the ID of the change before this one.
	Previous string    `json:"previous"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Reason   string    `json:"reason,omitempty"`
	Edits    []Edit    `json:"edits"`
}

// Edit replaces one item; a nil From creates it and a nil To deletes it.
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

// Entry is a change together with its encoded form, which hosts relay unaltered.
type Entry struct {
	Change Change
	Raw    []byte
}

// NewID returns a random change identity.
func NewID() string { return rand.Text() }

// Key returns the key under which the change with a version is created.
func Key(v Version) string { return fmt.Sprintf("%s%012d", Bucket(v), v) }

// Bucket returns the prefix that the key of a version shares with its neighbours.
func Bucket(v Version) string {
	return fmt.Sprintf("%s%010d/", object.PrefixAudit, uint64(v)/BucketSize)
}

// Encode returns the change as an entry; large changes are compressed.
func Encode(c Change) (Entry, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return Entry{}, errors.Wrap(err, "encode change")
	}
	raw, err := pack(text)
	if err != nil {
		return Entry{}, err
	}
	if len(raw) > object.MaxValueBytes {
		return Entry{}, errors.Wrapf(ErrTooLarge, "%d bytes, compressed", len(raw))
	}
	return Entry{Change: c, Raw: raw}, nil
}

// Decode reads an encoded change.
func Decode(raw []byte) (Entry, error) {
	text, err := unpack(raw)
	if err != nil {
		return Entry{}, err
	}
	var c Change
	if err := json.Unmarshal(text, &c); err != nil {
		return Entry{}, errors.Mark(errors.Wrap(err, "decode change"), ErrDecode)
	}
	if err := c.check(); err != nil {
		return Entry{}, err
	}
	return Entry{Change: c, Raw: raw}, nil
}

func (c *Change) check() error {
	if c.Version == 0 || c.ID == "" {
		return errors.Wrap(ErrDecode, "version or ID is missing")
	}
	for i, e := range c.Edits {
		if !e.From.valid() || !e.To.valid() || e.From == nil && e.To == nil {
			return errors.Wrapf(ErrDecode, "edits[%d] names no single item", i)
		}
		if e.From != nil && e.To != nil && e.From.Name() != e.To.Name() {
			return errors.Wrapf(ErrDecode, "edits[%d] replaces an item by one of another name", i)
		}
	}
	return nil
}

// valid reports whether the item is nil or has exactly one field set.
func (i *Item) valid() bool {
	if i == nil {
		return true
	}
	set := 0
	for _, is := range []bool{i.Service != nil, i.Workspace != nil, i.Backend != nil, i.Row != nil, i.Domain != nil} {
		if is {
			set++
		}
	}
	return set == 1
}

func pack(text []byte) ([]byte, error) {
	if len(text) < compressFrom {
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

func unpack(raw []byte) ([]byte, error) {
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
		return nil, errors.Wrap(ErrDecode, "over the limit after decompression")
	}
	return text, nil
}
