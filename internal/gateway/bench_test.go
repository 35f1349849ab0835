package gateway

import (
	"strings"
	"testing"
	"time"

	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/testsupport"
)

// A request is forwarded and answered with 20 kB. Several requests are in flight at once, and
// both sites run in this process.
func BenchmarkForwardedRequest(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkForwarding(b, nil, nil) })
	b.Run("tls", func(b *testing.B) {
		dir := b.TempDir()
		if err := MakeKeys(dir, []string{"n", "s"}, time.Hour); err != nil {
			b.Fatal(err)
		}
		benchmarkForwarding(b, loadKeys(b, dir, "n", dir), loadKeys(b, dir, "s", dir))
	})
}

func benchmarkForwarding(b *testing.B, northKeys, southKeys *Keys) {
	b.Helper()
	south := newTestSite(b, "s", "south", []Peer{{"n", "north", "127.0.0.1:1"}}, southKeys)
	north := newTestSite(b, "n", "north", []Peer{{"s", "south", south.addr}}, northKeys)
	testsupport.WaitUntil(b, "a healthy peer", north.isConnected)
	responseText := strings.Repeat("x", 20_000)
	south.setExecute(func(_ <-chan struct{}, _ *Request) Reply {
		return Reply{Outcome: peerpolicy.OutcomeCompleted, Body: south.body(responseText)}
	})
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			forwardOnce(north)
		}
	})
}

// forwardOnce forwards a request and waits for its reply. It retries a request that is not
// forwarded, since the limit on requests in flight is still growing.
func forwardOnce(s *testSite) {
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
