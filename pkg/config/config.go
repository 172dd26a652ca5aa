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

// ErrInvalid marks settings or a table that failed their check.
var ErrInvalid = errors.New("invalid configuration")

// Duration is a time.Duration that is written as Go duration text such as "250ms".
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

// Settings are what one host reads at start.
type Settings struct {
	// Host is the host's name, unique in the fleet.
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
	// OperatorKeys are the keys that operators may use, as hashes with a scope.
	OperatorKeys []OperatorKey `json:"operator_keys"`
	Limits       Limits        `json:"limits"`
	Timing       Timing        `json:"timing"`
	TLS          TLS           `json:"tls"`
	// Platform is set where operators and backend servers speak through the users' platform; the operators'
	// interface of the host is not served there.
	Platform *Platform `json:"platform,omitempty"`
}

// OperatorKey is one operator's key.
type OperatorKey struct {
	Name string `json:"name"`
	// Hash is the SHA-256 of the key in lower-case hexadecimal.
	Hash string `json:"hash"`
	// Scopes names what the key may do: "read", "table", "domains".
	Scopes []string `json:"scopes"`
}

// Limits bound what one caller may ask of the host.
type Limits struct {
	BodyBytes   int64 `json:"body_bytes"`
	HeaderBytes int   `json:"header_bytes"`
	// Connections bounds the open connections of callers.
	Connections int `json:"connections"`
	// Wait bounds the time that a request waits for a backend server.
	Wait Duration `json:"wait"`
	// Call bounds a plain call as a whole.
	Call Duration `json:"call"`
	// HeaderRead bounds the time in which a caller must send its headers.
	HeaderRead Duration `json:"header_read"`
	// BodyRead bounds the time in which a caller must send its body.
	BodyRead Duration `json:"body_read"`
}

// Timing holds the periods and time limits between the host and others.
type Timing struct {
	Heartbeat Duration `json:"heartbeat"`
	LoadPoll  Duration `json:"load_poll"`
	// Silence is the time without progress after which a connection is probed.
	Silence Duration `json:"silence"`
	// BalancerLag is the time that the platform's balancer needs to notice a failed readiness check.
	BalancerLag Duration `json:"balancer_lag"`
	// DrainLimit bounds a graceful stop.
	DrainLimit Duration `json:"drain_limit"`
}

// TLS names the files for mutual TLS; all are empty where it is not used.
type TLS struct {
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	CAFile   string `json:"ca_file,omitempty"`
}

// Default returns settings with every default filled in.
func Default() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes:   4 << 20,
			HeaderBytes: 32 << 10,
			Connections: 4096,
			Wait:        Duration(30 * time.Second),
			Call:        Duration(30 * time.Second),
			HeaderRead:  Duration(5 * time.Second),
			BodyRead:    Duration(20 * time.Second),
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

// ParseSettings reads settings in JSON with comments, fills in defaults and checks them as a whole.
func ParseSettings(text []byte) (Settings, error) {
	s := Default()
	if err := decode(text, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Check()
}

// ParseTable reads a table in JSON with comments and checks it as a whole.
func ParseTable(text []byte) (Table, error) {
	var t Table
	if err := decode(text, &t); err != nil {
		return Table{}, err
	}
	return t, t.Check()
}

func decode(text []byte, into any) error {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read JSON with comments"), ErrInvalid)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return errors.Mark(errors.Wrap(err, "decode"), ErrInvalid)
	}
	return nil
}

// Fault is one thing wrong with settings or a table.
type Fault struct {
	// Path names the place, such as "rows[2].weight".
	Path string
	// Want says what would be right.
	Want string
}

// Faults is every fault found in one check.
type Faults []Fault

// Error lists each fault on a line of its own.
func (f Faults) Error() string {
	var b bytes.Buffer
	for i, one := range f {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s: want %s", one.Path, one.Want)
	}
	return b.String()
}

// Is reports that a list of faults is an ErrInvalid.
func (f Faults) Is(target error) bool { return target == ErrInvalid }
