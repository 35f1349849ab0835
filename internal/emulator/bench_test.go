package emulator

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"quilldoor/internal/scenario"
)

// BenchmarkVirtual measures the simulated requests per second of wall time for fleets of several
// sizes. The load grows with the number of caches.
func BenchmarkVirtual(b *testing.B) {
	for _, size := range []struct{ offices, caches int }{{2, 5}, {10, 10}, {100, 10}} {
		caches := size.offices * size.caches
		b.Run(fmt.Sprint(caches), func(b *testing.B) {
			s := scenario.Default()
			s.LengthS, s.WarmUpS = max(4000/float64(caches), 8), 2
			s.Fleet.Offices, s.Fleet.Caches, s.Fleet.Trunks = size.offices, size.caches, min(size.offices, 5)
			s.Fleet.Parents, s.Fleet.OriginWorkers = max(size.offices/15, 1), 2*caches
			s.Load.RequestsPerS = 13 * float64(caches)
			if caches == 1000 {
				s.Load.RequestsPerS, s.Fleet.Cores = 20_000, 8
			}
			requests, attempts := 0, 0
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				result, err := RunVirtual(context.Background(), &s, Options{Seed: 1})
				if err != nil {
					b.Fatal(err)
				}
				requests, attempts = requests+result.ClientAttempts, attempts+result.Attempts
				if len(result.Violations) > 0 {
					b.Fatal(result.Violations[0])
				}
			}
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(requests)/b.Elapsed().Seconds(), "txns/s")
			b.ReportMetric(float64(attempts)/float64(requests), "hops/txn")
			b.ReportMetric(float64(after.Sys)/1e6, "MB-sys")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(requests), "allocs/txn")
		})
	}
}
