package mirror

import (
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/tarragonspur/tarragonspur/internal/mirror/mirpb"
)

// packedField is the number of the field packed in ReadReply.
const packedField protowire.Number = 6

// codec is the codec of protocol buffers, except that packed documents are not copied for each reply.
type codec struct{ encoding.CodecV2 }

func newCodec() codec { return codec{encoding.GetCodecV2(proto.Name)} }

// Marshal encodes a message.
func (c codec) Marshal(v any) (mem.BufferSlice, error) {
	reply, ok := v.(*mirpb.ReadReply)
	if !ok || len(reply.GetPacked()) == 0 {
		return c.CodecV2.Marshal(v)
	}
	encoded, err := c.CodecV2.Marshal(&mirpb.ReadReply{
		Era: reply.GetEra(), Revision: reply.GetRevision(), Changed: reply.GetChanged(), Removed: reply.GetRemoved(), AgeUs: reply.GetAgeUs(), HistoryGone: reply.GetHistoryGone(),
	})
	if err != nil {
		return nil, err
	}
	prefix := protowire.AppendTag(nil, packedField, protowire.BytesType)
	prefix = protowire.AppendVarint(prefix, uint64(len(reply.GetPacked())))
	return append(encoded, mem.SliceBuffer(prefix), mem.SliceBuffer(reply.GetPacked())), nil
}
