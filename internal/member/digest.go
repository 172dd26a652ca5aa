package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

const (
	// contacts is the number of hosts of a failure domain that are announced to other failure domains.
	contacts = 8
	// digestSenders is the number of hosts of a failure domain that send its digest.
	digestSenders = 2
	// digestPeriods is the number of periods between two digests to one failure domain.
	digestPeriods = 4
	// digestStale is the age, in periods, after which a digest is replaced by any other one, also of a lower version.
	digestStale = 60
)

// receivedDigest is the last digest received from another failure domain and how often it is still to be gossiped.
type receivedDigest struct {
	last       *peerpb.MemberDigest
	receivedAt time.Time
	// sendsLeft is the number of messages that are still to include the digest.
	sendsLeft int
}

// sendDigests sends the digest of this failure domain to one contact of each other one, if this host is a digest sender.
func (m *Member) sendDigests(now time.Time) {
	if m.ticks%digestPeriods != 0 || !m.isDigestSender() {
		return
	}
	own := m.ownDigest(now)
	byDomain := make(map[string][]string)
	for _, h := range m.Hosts.All() {
		if h.Domain != m.Self.Domain && h.State < board.HostLost {
			byDomain[h.Domain] = append(byDomain[h.Domain], h.Name)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(byDomain)) {
		to := byDomain[d][m.rand.IntN(len(byDomain[d]))]
		m.outgoing = append(m.outgoing, peer.Outgoing{To: to, Message: &peerpb.Message{Body: &peerpb.Message_MemberDigest{MemberDigest: own}}})
	}
}

// isDigestSender reports whether this host is live and among the first digestSenders live or suspect hosts of its failure
// domain, ordered by the hashes of their names.
func (m *Member) isDigestSender() bool {
	before := 0
	self := xxhash.Sum64String(m.Self.Name)
	for _, name := range m.names(board.HostLive, board.HostSuspect) {
		if xxhash.Sum64String(name) < self {
			before++
		}
	}
	return before < digestSenders && m.Self.State == board.HostLive
}

func (m *Member) ownDigest(now time.Time) *peerpb.MemberDigest {
	live := append([]board.Host{m.Self}, m.Hosts.Live(m.Self.Domain)...)
	slices.SortFunc(live, byName)
	live = slices.CompactFunc(live, func(a, b board.Host) bool { return a.Name == b.Name })
	d := &peerpb.MemberDigest{Domain: m.Self.Domain, Live: uint32(len(live)), Version: uint64(now.UnixMilli())}
	// The shuffle is seeded by the failure domain's name, so that consecutive digests have the same contacts.
	order := rand.New(rand.NewPCG(xxhash.Sum64String(m.Self.Domain), contacts))
	order.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	chosen := live[:min(contacts, len(live))]
	slices.SortFunc(chosen, byName)
	for _, h := range chosen {
		d.Contacts = append(d.Contacts, toInfo(hostUpdate{Host: h}))
	}
	return d
}

// handleDigest records a digest of another failure domain; one with changed contacts is gossiped within this one.
func (m *Member) handleDigest(d *peerpb.MemberDigest, now time.Time) {
	if d.GetDomain() == m.Self.Domain || d.GetDomain() == "" {
		return
	}
	old := m.digests[d.GetDomain()]
	if old == nil {
		old = &receivedDigest{}
		m.digests[d.GetDomain()] = old
	}
	stale := now.Sub(old.receivedAt) > digestStale*m.Period
	if !stale && d.GetVersion() <= old.last.GetVersion() {
		return
	}
	if contactsKey(old.last) != contactsKey(d) {
		old.sendsLeft = m.spreadCount()
		m.dropRemote(d.GetDomain())
	}
	old.last = d
	old.receivedAt = now
	for _, i := range d.GetContacts() {
		if h, ok := fromInfo(i); ok && h.Domain == d.GetDomain() {
			h.LastSeen = now
			m.Hosts.Put(h.Host)
		}
	}
}

func (m *Member) dropRemote(domain string) {
	for _, h := range m.Hosts.All() {
		if h.Domain == domain {
			m.Hosts.Remove(h.Name)
		}
	}
}

// contactsKey returns the names and addresses of a digest's contacts as one string.
func contactsKey(d *peerpb.MemberDigest) string {
	var b strings.Builder
	for _, c := range d.GetContacts() {
		b.WriteString(c.GetName() + "@" + c.GetAddress() + " ")
	}
	return b.String()
}

// pendingDigests returns the digests that are still to be sent and decrements their sendsLeft.
func (m *Member) pendingDigests() []*peerpb.MemberDigest {
	var list []*peerpb.MemberDigest
	for _, name := range slices.Sorted(maps.Keys(m.digests)) {
		if d := m.digests[name]; d.sendsLeft > 0 {
			d.sendsLeft--
			list = append(list, d.last)
		}
	}
	return list
}

func (m *Member) allDigests() []*peerpb.MemberDigest {
	var list []*peerpb.MemberDigest
	for _, name := range slices.Sorted(maps.Keys(m.digests)) {
		if d := m.digests[name]; d.last != nil {
			list = append(list, d.last)
		}
	}
	return list
}

// LiveCount returns the number of live hosts of another failure domain according to its last digest.
func (m *Member) LiveCount(domain string) int { return int(m.digests[domain].live()) }

func (d *receivedDigest) live() uint32 {
	if d == nil {
		return 0
	}
	return d.last.GetLive()
}

// addListedContact adds a listed host of another failure domain as a contact, as long as there is no digest of it.
func (m *Member) addListedContact(h object.Host, count map[string]int) {
	if m.digests[h.Domain] != nil || count[h.Domain] >= contacts {
		return
	}
	count[h.Domain]++
	if _, known := m.Hosts.Get(h.Name); !known {
		m.Hosts.Put(board.Host{Name: h.Name, Domain: h.Domain, Region: h.Region, Address: h.Address, State: board.HostLive})
	}
}
