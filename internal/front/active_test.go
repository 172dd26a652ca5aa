package front

import (
	"sync"
	"testing"
)

// TestRequestsMayArriveWhileTheLastOnesAreAwaited guards against the panic of a sync.WaitGroup that is raised from zero and awaited at
// the same time.
func TestRequestsMayArriveWhileTheLastOnesAreAwaited(t *testing.T) {
	var a active
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			for range 20000 {
				a.Add()
				a.Done()
			}
		})
		running.Go(func() {
			for range 2000 {
				a.wait(t.Context())
			}
		})
	}
	running.Wait()
	a.wait(t.Context())
}
