package mirror

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/mirror/mirpb"
)

const (
	// minPackedDocuments is the number of documents and removals, and minPackedBytes the size, from which a batch is packed.
	minPackedDocuments = 32
	minPackedBytes     = 8 << 10
	// maxPackedBatches is the number of packed batches that a cache keeps. Hosts that follow the store closely read from
	// the same few revisions.
	maxPackedBatches = 4
	// maxUnpackedBytes bounds the documents of one batch, which take no more than they do in a message that isn't packed.
	maxUnpackedBytes = maxMessageBytes
)

// isWorthPacking reports whether a batch is large.
func (b Batch) isWorthPacking() bool {
	size := 0
	for _, d := range b.Changed {
		size += len(d.Body)
	}
	return size >= minPackedBytes || len(b.Changed)+len(b.Removed) >= minPackedDocuments
}

// packedBatch is a batch that is encoded and compressed by the first caller and shared by all others.
type packedBatch struct {
	at, since epoch.Position

	once  sync.Once
	bytes []byte
	err   error
}

// pack returns the batch's documents in packed form. The cache keeps the result for the next callers.
func (c *cache) pack(b Batch, since epoch.Position) ([]byte, error) {
	p := c.packedBatch(b.At, since)
	p.once.Do(func() { p.bytes, p.err = packDocuments(b) })
	return p.bytes, p.err
}

func (c *cache) packedBatch(at, since epoch.Position) *packedBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.packed {
		if p.at == at && p.since == since {
			return p
		}
	}
	p := &packedBatch{at: at, since: since}
	if len(c.packed) == maxPackedBatches {
		c.packed = c.packed[1:]
	}
	c.packed = append(c.packed, p)
	return p
}

func packDocuments(b Batch) ([]byte, error) {
	plain, err := proto.Marshal(&mirpb.Documents{Changed: encodeDocuments(b.Changed), Removed: b.Removed})
	if err != nil {
		return nil, errors.Wrap(err, "encode documents")
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress documents")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress documents")
	}
	err = w.Close()
	return packed.Bytes(), errors.Wrap(err, "compress documents")
}

func unpackDocuments(packed []byte) (*mirpb.Documents, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress documents")
	}
	if len(plain) > maxUnpackedBytes {
		return nil, errors.Newf("documents exceed %d bytes", maxUnpackedBytes)
	}
	documents := &mirpb.Documents{}
	return documents, errors.Wrap(proto.Unmarshal(plain, documents), "decode documents")
}

func encodeDocuments(documents []Document) []*mirpb.Document {
	encoded := make([]*mirpb.Document, 0, len(documents))
	for _, d := range documents {
		encoded = append(encoded, &mirpb.Document{Name: d.Name, Revision: d.Revision, Body: d.Body})
	}
	return encoded
}

func decodeDocuments(encoded []*mirpb.Document) []Document {
	var documents []Document
	for _, d := range encoded {
		documents = append(documents, Document{Name: d.GetName(), Revision: d.GetRevision(), Body: d.GetBody()})
	}
	return documents
}
