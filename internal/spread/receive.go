package spread

import (
	"time"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

const (
	// maxNewsBytes bounds the changes in one message; the rest is sent after the answer.
	maxNewsBytes = 256 << 10
	// maxAgeMS bounds the age in a peer's digest, in milliseconds.
	maxAgeMS = 1 << 40
)

// Receive handles one message of a peer and returns the answers to the sender and the messages to others.
func (c *Core) Receive(now time.Time, from string, m *peerpb.Message) (answers []*peerpb.Message, others []peer.Outgoing) {
	switch {
	case m.GetConfigHave() != nil:
		return c.receiveDigest(now, from, m.GetConfigHave()), nil
	case m.GetConfigNews() != nil:
		return c.receiveNews(now, from, m.GetConfigNews())
	default:
		return nil, nil
	}
}

func (c *Core) receiveDigest(now time.Time, from string, h *peerpb.ConfigHave) []*peerpb.Message {
	c.recordPeer(now, from, h)
	theirs := change.Version(h.GetVersion())
	mine := c.Board.Config.State()
	switch {
	case h.GetDigestOnly():
		return []*peerpb.Message{digestMessage(c.digest(now, true))}
	case theirs < mine.Version:
		return []*peerpb.Message{c.news(now, theirs)}
	case theirs > mine.Version:
		return c.requestNews(now)
	case h.GetReply():
		return nil
	default:
		return []*peerpb.Message{digestMessage(c.digest(now, true))}
	}
}

// requestNews requests the changes of a digest's sender by sending it the own digest. A host without any state asks
// one peer at a time, since the answer is the whole state.
func (c *Core) requestNews(now time.Time) []*peerpb.Message {
	if c.Board.Config.State().Version == 0 && now.Sub(c.requestedAt) < startPeriod {
		return nil
	}
	c.requestedAt = now
	return []*peerpb.Message{digestMessage(c.digest(now, false))}
}

func (c *Core) receiveNews(now time.Time, from string, n *peerpb.ConfigNews) ([]*peerpb.Message, []peer.Outgoing) {
	if raw := n.GetSnapshot(); len(raw) > 0 {
		if s, err := change.DecodeSnapshot(raw); err == nil {
			c.adopt(s)
		}
	}
	var entries []change.Entry
	for _, raw := range n.GetChanges() {
		e, err := change.Decode(raw)
		if err != nil {
			break
		}
		entries = append(entries, e)
	}
	others := c.apply(now, from, entries)
	c.recordPeer(now, from, n.GetHave())
	mine := c.Board.Config.State().Version
	behind := mine < change.Version(n.GetHave().GetVersion())
	return []*peerpb.Message{digestMessage(c.digest(now, !behind))}, others
}

// recordPeer records a peer's version and, if that is not above the own one, when the own one was confirmed as the newest.
func (c *Core) recordPeer(now time.Time, from string, h *peerpb.ConfigHave) {
	if h == nil {
		return
	}
	if c.firstPeerAt.IsZero() {
		c.firstPeerAt = now
	}
	c.lastPeerAt = now
	if c.peerVersions == nil {
		c.peerVersions = make(map[string]change.Version)
	}
	theirs := change.Version(h.GetVersion())
	c.peerVersions[from] = theirs
	mine := c.Board.Config.State()
	if theirs == mine.Version && h.GetId() != mine.ID {
		c.forked = true
	}
	if h.GetConfirmed() && theirs <= mine.Version {
		age := time.Duration(min(h.GetAgeMs(), maxAgeMS)) * time.Millisecond
		c.Board.Config.Confirm(now.Add(-age))
	}
}

// news returns a message with the changes after a version, or with the whole state when they are no longer kept.
func (c *Core) news(now time.Time, after change.Version) *peerpb.Message {
	n := &peerpb.ConfigNews{Have: c.digest(now, true)}
	state := c.Board.Config.State()
	if _, ok := c.Entry(after + 1); !ok {
		n.Snapshot = c.snapshot(state)
		return newsMessage(n)
	}
	size := 0
	for v := after + 1; v <= state.Version && size < maxNewsBytes; v++ {
		e, _ := c.Entry(v)
		n.Changes = append(n.Changes, e.Raw)
		size += len(e.Raw)
	}
	return newsMessage(n)
}

// snapshot returns the encoded state, which is cached until the next change, as several hosts may start at once.
func (c *Core) snapshot(s change.State) []byte {
	if c.encodedID == s.ID {
		return c.encoded
	}
	raw, err := s.Snapshot()
	if err != nil {
		return nil
	}
	c.encodedID, c.encoded = s.ID, raw
	return raw
}

func digestMessage(h *peerpb.ConfigHave) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_ConfigHave{ConfigHave: h}}
}

func newsMessage(n *peerpb.ConfigNews) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_ConfigNews{ConfigNews: n}}
}
