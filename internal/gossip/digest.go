package gossip

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonspur/tarragonspur/internal/canary"
	"github.com/tarragonspur/tarragonspur/internal/crash"
	"github.com/tarragonspur/tarragonspur/internal/notice"
)

// message is one datagram.
type message struct {
	// Digest is the state of the sending host.
	Digest *Digest `cbor:"1,keyasint,omitempty"`
	// Summary is an encoded Summary, which the sender encodes once for all recipients.
	Summary cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	// Incarnation and Included identify the recipient's digest that a global summary includes.
	Incarnation int64  `cbor:"3,keyasint,omitempty"`
	Included    uint64 `cbor:"4,keyasint,omitempty"`
	// Rank is the recipient's position among the live hosts that a global summary covers.
	Rank int `cbor:"5,keyasint,omitempty"`
}

// Digest is the state that one host sends to others.
type Digest struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation is the host's start time in Unix milliseconds.
	Incarnation int64 `cbor:"2,keyasint"`
	// Sequence orders the digests of one incarnation.
	Sequence uint64       `cbor:"3,keyasint"`
	Leaving  bool         `cbor:"4,keyasint,omitempty"`
	Loads    []ServerLoad `cbor:"5,keyasint,omitempty"`
	Region   string       `cbor:"7,keyasint,omitempty"`
	// Cores is the host's processor share.
	Cores float64 `cbor:"8,keyasint,omitempty"`
	// Reading reports that the host reads the store and can read it for others.
	Reading bool `cbor:"9,keyasint,omitempty"`
	// Services are the counts of the retry budget and of waiting requests.
	Services []ServiceCounts `cbor:"10,keyasint,omitempty"`
	// WantsIntroductions requests introductions. The reply holds only Host and Introductions.
	WantsIntroductions bool           `cbor:"11,keyasint,omitempty"`
	Introductions      []Introduction `cbor:"12,keyasint,omitempty"`
	Domain             string         `cbor:"13,keyasint,omitempty"`
	// Crashes is the evidence of crashes, and EvidenceVersion the number of its state and that of Notices, which is not sent.
	Crashes         []crash.Evidence `cbor:"14,keyasint,omitempty"`
	EvidenceVersion uint64           `cbor:"-"`
	// Notices is what backend servers have stated of themselves.
	Notices []notice.Report `cbor:"15,keyasint,omitempty"`
	// IsRelayed reports that the sender sends its digests to relays; the recipient of a digest with loads is one of them, which
	// is to include it in its sums.
	IsRelayed bool `cbor:"16,keyasint,omitempty"`
	// Rollouts are reports on roll-outs. A digest that has any holds nothing else but Host, Incarnation and Domain.
	Rollouts []canary.Report `cbor:"19,keyasint,omitempty"`
}

// Introduction describes a host that the sender has seen recently, itself or through others.
type Introduction struct {
	Host    string         `cbor:"1,keyasint"`
	Address netip.AddrPort `cbor:"2,keyasint"`
	Region  string         `cbor:"3,keyasint,omitempty"`
	Domain  string         `cbor:"4,keyasint,omitempty"`
	Cores   float64        `cbor:"5,keyasint,omitempty"`
	Reading bool           `cbor:"6,keyasint,omitempty"`
	Leaving bool           `cbor:"7,keyasint,omitempty"`
	// AgeMS is the time since the host was last heard, in milliseconds.
	AgeMS int64 `cbor:"8,keyasint,omitempty"`
}

// ServiceCounts are the counts of one service: sends within the window of the retry budget, and requests that wait.
type ServiceCounts struct {
	Service  string `cbor:"1,keyasint"`
	Arrivals int    `cbor:"2,keyasint,omitempty"`
	Repeats  int    `cbor:"3,keyasint,omitempty"`
	Waiting  int    `cbor:"4,keyasint,omitempty"`
	// ArrivalRate and StartRate are requests a second.
	ArrivalRate float64 `cbor:"5,keyasint,omitempty"`
	StartRate   float64 `cbor:"6,keyasint,omitempty"`
	// Classes counts the waiting requests by urgency, the most urgent first, without zeros at the end.
	Classes []int `cbor:"7,keyasint,omitempty"`
	// Uses are the workspaces that use most, while requests wait for the service.
	Uses []WorkspaceUse `cbor:"8,keyasint,omitempty"`
}

// WorkspaceUse is what one workspace takes of a service.
type WorkspaceUse struct {
	_ struct{} `cbor:",toarray"`

	Workspace uint32
	// Rate is in tokens a second.
	Rate    int
	Waiting int
}

// ServerLoad is the load of a host, or of several, on one backend server.
type ServerLoad struct {
	_ struct{} `cbor:",toarray"`

	Server  string
	Runs    int
	Tokens  int
	Pending int
}

// Summary is the sum over several hosts that a relay sends: over its failure domain to the relays of others, and over all
// hosts to those of its failure domain.
type Summary struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	Domain      string `cbor:"4,keyasint"`
	IsGlobal    bool   `cbor:"5,keyasint,omitempty"`
	// Loads are those that have changed lately and some of the others in turn.
	Loads    []ServerLoad    `cbor:"6,keyasint,omitempty"`
	Services []ServiceCounts `cbor:"7,keyasint,omitempty"`
	// Hosts and Known count the live hosts and those that divided budgets count.
	Hosts int `cbor:"9,keyasint,omitempty"`
	Known int `cbor:"10,keyasint,omitempty"`
	// Members are the relays and the reading hosts.
	Members []Introduction `cbor:"11,keyasint,omitempty"`
	// IsPrimary reports that the relay is the one that its failure domain follows; others only show that they live.
	IsPrimary bool `cbor:"12,keyasint,omitempty"`
	// DomainHosts counts the live hosts of the relay's failure domain.
	DomainHosts int `cbor:"13,keyasint,omitempty"`
	// HasCounts reports whether Services, Hosts, Known and DomainHosts are set; further datagrams of a period hold only loads.
	HasCounts bool `cbor:"14,keyasint,omitempty"`
	// Crashes is the evidence of crashes that this or another host has.
	Crashes []crash.Evidence `cbor:"15,keyasint,omitempty"`
	// Notices is what backend servers have stated of themselves, to this or another host.
	Notices []notice.Report `cbor:"16,keyasint,omitempty"`
	// Rollouts are reports on roll-outs with the sums over failure domains. A summary that has any holds nothing else but Host,
	// Incarnation and Domain.
	Rollouts []canary.Report `cbor:"17,keyasint,omitempty"`
}
