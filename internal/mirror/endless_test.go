package mirror

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPackedDocumentsTakeNoMoreThanAMessage guards against a small message that takes many times its size when it is unpacked.
func TestPackedDocumentsTakeNoMoreThanAMessage(t *testing.T) {
	for _, tc := range []struct {
		name    string
		size    int
		isValid bool
	}{
		{"near the limit", maxMessageBytes - 1<<10, true},
		{"beyond the limit", maxMessageBytes + 1, false},
		{"far beyond the limit", 3 * maxMessageBytes, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			packed, err := packDocuments(Batch{Changed: []Document{{Name: "a", Body: make([]byte, tc.size)}}})
			assert.NilError(t, err)
			assert.Assert(t, len(packed) < maxMessageBytes, "%d bytes", len(packed))
			documents, err := unpackDocuments(packed)
			assert.Equal(t, err == nil, tc.isValid, "%v", err)
			if tc.isValid {
				assert.Equal(t, len(documents.GetChanged()[0].GetBody()), tc.size)
			}
		})
	}
}
