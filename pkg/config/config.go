// Package config defines the settings of a host and the table that operators edit.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// ErrInvalid marks the errors of settings or a table that can't be parsed or failed validation.
var ErrInvalid = errors.New("invalid configuration")

// Duration is a time.Duration that is encoded as Go duration text such as "250ms".
type Duration time.Duration

// UnmarshalText parses Go duration text.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "want Go duration text such as \"250ms\"")
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes Go duration text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Settings holds the configuration of one host, which it reads from a file at start.
type Settings struct {
	// Host is the host's name, unique in the deployment; Domain is its failure domain.
	Host   string `json:"host"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Callers, Operators, Peers and Metrics are the addresses that the host listens on.
	Callers   netip.AddrPort `json:"callers"`
	Operators netip.AddrPort `json:"operators"`
	Peers     netip.AddrPort `json:"peers"`
	Metrics   netip.AddrPort `json:"metrics"`
	// Store is the address of the platform's object API.
	Store netip.AddrPort `json:"store"`
	// OperatorKeys holds the hashes and scopes of the keys that operators may use.
	OperatorKeys []OperatorKey `json:"operator_keys"`
	Limits       Limits        `json:"limits"`
	Timing       Timing        `json:"timing"`
	TLS          TLS           `json:"tls"`
	// Platform is set for a host on the users' platform, through which operators and backend servers reach it; such a host
	// doesn't serve the operators' interface.
	Platform *Platform `json:"platform,omitempty"`
}

// OperatorKey is the hash of an operator's key with the key's scopes.
type OperatorKey struct {
	Name string `json:"name"`
	// Hash is the SHA-256 of the key in lower-case hexadecimal.
	Hash string `json:"hash"`
	// Scopes lists what the key may be used for: "read", "table", "domains".
	Scopes []string `json:"scopes"`
}

// Limits bounds the size, number and duration of callers' requests.
type Limits struct {
	// BodyBytes and HeaderBytes bound the body and the headers of one request.
	BodyBytes   int64 `json:"body_bytes"`
	HeaderBytes int   `json:"header_bytes"`
	// Connections bounds the open connections of all callers together; on the users' platform the host's memory and descriptors
	// may bound them further.
	Connections int `json:"connections"`
	// HeadsBytes bounds the memory that the heads of all callers' requests take together, and OpenHeads the connections whose
	// head is not complete; 0 derives them from the host's memory and Connections.
	HeadsBytes int64 `json:"heads_bytes"`
	OpenHeads  int   `json:"open_heads"`
	// HeadLines bounds the lines of one head, BlankLines the empty lines before it.
	HeadLines  int `json:"head_lines"`
	BlankLines int `json:"blank_lines"`
	// Wait bounds the time that a request waits for a backend server.
	Wait Duration `json:"wait"`
	// Call bounds the total time of a call to a plain service.
	Call Duration `json:"call"`
	// HeaderRead bounds the time to read a request's headers.
	HeaderRead Duration `json:"header_read"`
	// BodyRead bounds the time to read a request's body.
	BodyRead Duration `json:"body_read"`
	// ReaderStall is the time after which a caller that takes nothing of its answer is dropped, on the users' platform. It is less
	// than the time after which backend servers cut unread answers off.
	ReaderStall Duration `json:"reader_stall"`
}

// Timing holds the intervals and time limits of the host's exchange with other systems.
type Timing struct {
	// Heartbeat is the gossip interval between hosts, LoadPoll the interval at which backend servers are polled.
	Heartbeat Duration `json:"heartbeat"`
	LoadPoll  Duration `json:"load_poll"`
	// Silence is the time without progress after which a connection is probed.
	Silence Duration `json:"silence"`
	// BalancerLag is the time that the platform's load balancer needs to notice a failed readiness check.
	BalancerLag Duration `json:"balancer_lag"`
	// DrainLimit bounds the duration of a graceful stop.
	DrainLimit Duration `json:"drain_limit"`
}

// TLS names the certificate files for mutual TLS; all are empty if it is not used.
type TLS struct {
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	CAFile   string `json:"ca_file,omitempty"`
}

// Default returns settings that hold only the default values.
func Default() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes:   4 << 20,
			HeaderBytes: 32 << 10,
			Connections: 4096,
			HeadLines:   6144,
			BlankLines:  16,
			Wait:        Duration(30 * time.Second),
			Call:        Duration(30 * time.Second),
			HeaderRead:  Duration(5 * time.Second),
			BodyRead:    Duration(20 * time.Second),
			ReaderStall: Duration(2500 * time.Millisecond),
		},
		Timing: Timing{
			Heartbeat:   Duration(500 * time.Millisecond),
			LoadPoll:    Duration(250 * time.Millisecond),
			Silence:     Duration(time.Second),
			BalancerLag: Duration(2 * time.Second),
			DrainLimit:  Duration(10 * time.Minute),
		},
	}
}

// ParseSettings parses settings in JSON with comments, fills in defaults and reports every invalid field at once.
// Its errors are ErrInvalid.
func ParseSettings(text []byte) (Settings, error) {
	s := Default()
	if err := decode(text, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Check()
}

// ParseTable parses a table in JSON with comments and reports every invalid field at once. Its errors are ErrInvalid.
func ParseTable(text []byte) (Table, error) {
	var t Table
	if err := decode(text, &t); err != nil {
		return Table{}, err
	}
	return t, t.Check()
}

// decode parses JSON with comments and rejects unknown fields.
func decode(text []byte, target any) error {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read JSON with comments"), ErrInvalid)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return errors.Mark(errors.Wrap(err, "decode"), ErrInvalid)
	}
	return nil
}

// Fault is an invalid field of settings or a table.
type Fault struct {
	// Path is the path of the field, such as "rows[2].weight".
	Path string
	// Want describes a valid value.
	Want string
}

// Faults lists every invalid field that a check found.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	var b bytes.Buffer
	for i, violation := range f {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s: want %s", violation.Path, violation.Want)
	}
	return b.String()
}

// Is makes errors.Is match ErrInvalid.
func (f Faults) Is(target error) bool { return target == ErrInvalid }
