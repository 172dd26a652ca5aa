package mirror

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/fakes/broken"
	"github.com/tarragonspur/tarragonspur/internal/mirror/mirpb"
)

// TestBrokenAnswersOfReadersAreNotRead guards against a broken answer of a reading host that passes for what the store holds.
func TestBrokenAnswersOfReadersAreNotRead(t *testing.T) {
	for _, head := range append(broken.HostHeads(), broken.SoundHostHead()) {
		t.Run(head.Name, func(t *testing.T) {
			h := &broken.Host{Head: head, Message: &mirpb.ReadReply{Revision: 9, Removed: []string{"a"}}}
			at := h.Start(t)
			link := &Link{}
			defer link.Close()
			b, err := link.Read(t.Context(), Host{Name: "h1", Address: at}, question{kind: "servers", since: epoch.Position{Revision: 7}})
			if head.Name == broken.SoundHostHead().Name {
				assert.NilError(t, err)
				assert.DeepEqual(t, b.Removed, []string{"a"})
				return
			}
			assert.Assert(t, err != nil, "%v", b)
			assert.Equal(t, h.Calls(), 1, "it is asked once")
		})
	}
}
