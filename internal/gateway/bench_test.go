package gateway

import (
	"strings"
	"testing"
	"time"

	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/testsupport"
)

// A request forwarded and answered with 20 kB, some at once, both sides in this
// process.
func BenchmarkAcross(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkAcross(b, nil, nil) })
	b.Run("tls", func(b *testing.B) {
		dir := b.TempDir()
		if err := MakeKeys(dir, []string{"n", "s"}, time.Hour); err != nil {
			b.Fatal(err)
		}
		benchmarkAcross(b, loadKeys(b, dir, "n", dir), loadKeys(b, dir, "s", dir))
	})
}

func benchmarkAcross(b *testing.B, northKeys, southKeys *Keys) {
	b.Helper()
	south := newSide(b, "s", "south", []Peer{{"n", "north", "127.0.0.1:1"}}, southKeys)
	north := newSide(b, "n", "north", []Peer{{"s", "south", south.addr}}, northKeys)
	testsupport.WaitUntil(b, "a healthy peer", north.isConnected)
	text := strings.Repeat("x", 20_000)
	south.executes(func(_ <-chan struct{}, _ *Request) Reply {
		return Reply{Outcome: peerpolicy.OutcomeCompleted, Body: south.body(text)}
	})
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			forwardOnce(north)
		}
	})
}

// forwardOnce tries again where more is at once than the limit has grown to.
func forwardOnce(s *side) {
	for {
		replies := s.send(peerpolicy.EffectIdempotent, "x", nil, 5*time.Second)
		if replies == nil {
			time.Sleep(100 * time.Microsecond)
			continue
		}
		reply := <-replies
		reply.Body.Release()
		return
	}
}
