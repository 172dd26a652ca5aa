package plots_test

import (
	"image/png"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/bench"
	"github.com/tarragonspur/tarragonspur/internal/plots"
)

func TestSave(t *testing.T) {
	results := []bench.Result{
		{Scenario: "crowded", Policy: bench.PolicyOwn, StallTimeS: bench.Ptr(28.0), Preemptions: bench.Ptr(105)},
		{Scenario: "crowded", Policy: "round_robin", StallTimeS: bench.Ptr(1228.0), Preemptions: bench.Ptr(4077)},
	}
	path, err := plots.Save(t.TempDir(), results)
	assert.NilError(t, err)
	assert.Equal(t, filepath.Base(path), "crowded.png")
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	image, err := png.Decode(file)
	assert.NilError(t, err)
	assert.Assert(t, image.Bounds().Dx() > 100)
}

func TestSaveWithoutMetrics(t *testing.T) {
	path, err := plots.Save(t.TempDir(), []bench.Result{{Scenario: "empty"}})
	assert.NilError(t, err)
	assert.Equal(t, path, "")
}
