package slopes_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/slopes"
)

const page = "# Capacity\n\n<!-- slopes begin -->\n<!-- slopes end -->\n\nmore\n"

func TestReplaceWritesSlopes(t *testing.T) {
	list := []slopes.Slope{{Name: "bytes", Value: 1234.5}, {Name: "cpu", Value: 0.5, IsCPUTime: true}}
	next, err := slopes.Replace(page, list)
	assert.NilError(t, err)
	assert.NilError(t, slopes.Check(next, list, 0.3, 0.3))
	again, err := slopes.Replace(next, list)
	assert.NilError(t, err)
	assert.Equal(t, again, next)
}

func TestCheck(t *testing.T) {
	next, err := slopes.Replace(page, []slopes.Slope{{Name: "bytes", Value: 100}, {Name: "cpu", Value: 1, IsCPUTime: true}})
	assert.NilError(t, err)
	tests := []struct {
		name string
		list []slopes.Slope
		want error
	}{
		{"within", []slopes.Slope{{Name: "bytes", Value: 125}}, nil},
		{"beyond", []slopes.Slope{{Name: "bytes", Value: 150}}, slopes.ErrOutdated},
		{"CPU time within its own tolerance", []slopes.Slope{{Name: "cpu", Value: 1.9, IsCPUTime: true}}, nil},
		{"slope missing from the page", []slopes.Slope{{Name: "other", Value: 1}}, slopes.ErrOutdated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := slopes.Check(next, tt.list, 0.3, 0.6)
			assert.Assert(t, errors.Is(err, tt.want) && (err == nil) == (tt.want == nil), "%v", err)
		})
	}
}

func TestReplaceWithoutTable(t *testing.T) {
	_, err := slopes.Replace("# Capacity\n", nil)
	assert.Assert(t, errors.Is(err, slopes.ErrNoTable))
}
