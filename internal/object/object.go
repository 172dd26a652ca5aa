// Package object defines the objects of the platform's object API and the errors that its clients return.
package object

import "github.com/cockroachdb/errors"

// Sentinel errors of the object API.
var (
	// ErrNotFound says that no object with the key exists.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the object's version is not the expected one; nothing was changed.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable says that the object API could not be reached or did not accept the call; nothing was changed.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrUnknown says that no valid response was received, so a write may have taken effect.
	ErrUnknown = errors.New("outcome of the call to the object API is unknown")
	// ErrCompacted says that a watch started at a version whose changes are no longer kept.
	ErrCompacted = errors.New("watch start is too old")
)

// Version is the number of a change across all objects; zero means that an object does not exist.
type Version uint64

// Object is a stored value with its key and version.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// Event is a change of an object that a watch reports.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Listing lists the objects whose keys start with a prefix, at one version.
type Listing struct {
	Objects []Object `json:"objects"`
	// Version is the newest version at the time of the listing; a watch that starts after it misses no change.
	Version Version `json:"version"`
}

// Keys and key prefixes of the system's objects.
const (
	KeyTable     = "config/table"
	PrefixConfig = "config/"
	PrefixDomain = "config/domain/"
	PrefixHost   = "hosts/"
	PrefixLease  = "leases/"
	PrefixCall   = "calls/"
	PrefixAudit  = "audit/"
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20
)
