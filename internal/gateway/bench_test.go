package gateway

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/testsupport"
)

// A txn handed over and answered with 20 kB, some at once, both sides in this
// process.
func BenchmarkAcross(b *testing.B) {
	for _, secure := range []bool{false, true} {
		b.Run(map[bool]string{false: "plain", true: "tls"}[secure], func(b *testing.B) {
			var north, south *Keys
			if secure {
				dir := b.TempDir()
				if err := MakeKeys(dir, []string{"n", "s"}, time.Hour); err != nil {
					b.Fatal(err)
				}
				load := func(name string) *Keys {
					k := &Keys{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, "ca.pem")}
					if err := k.Load(); err != nil {
						b.Fatal(err)
					}
					return k
				}
				north, south = load("n"), load("s")
			}
			far := newSide(b, "s", "south", []Peer{{"n", "north", "127.0.0.1:1"}}, south)
			home := newSide(b, "n", "north", []Peer{{"s", "south", far.addr}}, north)
			testsupport.WaitUntil(b, "trust", func() bool { return home.isConnected() })
			text := strings.Repeat("x", 20_000)
			far.executes(func(_ <-chan struct{}, _ *Request) Reply {
				return Reply{Outcome: peerpolicy.OutcomeCompleted, Body: far.body(text)}
			})
			b.SetParallelism(4)
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					for {
						c := home.send(peerpolicy.EffectIdempotent, "x", nil, 5*time.Second)
						if c == nil { // more at once than the limit has grown to
							time.Sleep(100 * time.Microsecond)
							continue
						}
						r := <-c
						r.Body.Release()
						break
					}
				}
			})
		})
	}
}
