package notice

import (
	"fmt"
	"testing"
)

func BenchmarkShareByDemand(b *testing.B) {
	demand := make(map[string]float64)
	for i := range 83 {
		demand[fmt.Sprintf("h%03d", i)] = 1 + float64(i%7)
	}
	b.ReportAllocs()
	for b.Loop() {
		ShareByDemand("s1", 3, "h010", demand)
	}
}
