package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
)

// TestBrokenAnswersOfPeersAreNoReplies guards against broken answers of other hosts whose messages count as theirs.
func TestBrokenAnswersOfPeersAreNoReplies(t *testing.T) {
	batch := &peerpb.Batch{From: "entry-1", Messages: []*peerpb.Message{{}}}
	for _, head := range append(broken.HostHeads(), broken.SoundHostHead()) {
		t.Run(head.Name, func(t *testing.T) {
			h := &broken.Host{Head: head, Message: batch}
			at := h.Start(t)
			replies := make(chan string, 1)
			c := &peer.Client{
				Self:      peer.Sender{Host: "entry-2"},
				OnReplies: func(_ context.Context, from peer.Sender, _ []*peerpb.Message) { replies <- from.Host },
			}
			messages, err := c.Deliver(t.Context(), at, []*peerpb.Message{{}})
			sendErr := c.Send(t.Context(), at, []*peerpb.Message{{}})
			if head.Name == broken.SoundHostHead().Name {
				assert.NilError(t, errors.CombineErrors(err, sendErr))
				assert.Equal(t, len(messages), 1)
				assert.Equal(t, <-replies, "entry-1")
				c.Close()
				return
			}
			assert.Assert(t, errors.Is(err, peer.ErrUnreachable), "%v", err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if sendErr != nil || h.Calls() > 1 {
					return poll.Success()
				}
				return poll.Continue("%d calls received", h.Calls())
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
			// The answer may still be on its way.
			time.Sleep(50 * time.Millisecond)
			c.Close()
			assert.Equal(t, len(replies), 0)
		})
	}
}
