package membership_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"quilldoor/internal/membership"
	"quilldoor/internal/simfleet"
)

// benchmarkSender is the member that sends all messages of the benchmarks.
var benchmarkSender = membership.Update{
	Name: "n1", ID: membership.InstanceID{Epoch: 1, Nonce: 2}, Incarnation: 1, State: membership.StateAlive,
}

// BenchmarkMemory measures the heap bytes of a member, its entries in maps and lists included.
func BenchmarkMemory(b *testing.B) {
	for _, count := range []int{24, 222} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var before, after runtime.MemStats
			kept := make([]*membership.Node, 0, 200)
			runtime.GC()
			runtime.ReadMemStats(&before)
			for range 200 {
				kept = append(kept, newFilledNode(count))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(200*count), "B/member")
			runtime.KeepAlive(kept)
		})
	}
}

// newFilledNode starts a node and adds that many members besides benchmarkSender.
func newFilledNode(count int) *membership.Node {
	n := newLoneNode(1)
	msg := &membership.Message{
		Kind: membership.KindStateExchange, Sequence: 1, Sender: benchmarkSender, To: "me", ToInstance: n.Self().ID,
	}
	for i := range count {
		msg.Updates = append(msg.Updates, membership.Update{
			Name: fmt.Sprint("x", i), Zone: "office", Addr: simfleet.Addr(i),
			ID: membership.InstanceID{Epoch: 1, Nonce: 1}, Incarnation: 1, State: membership.StateAlive,
		})
		if len(msg.Updates) == 100 {
			n.Receive(2, netip.AddrPort{}, msg)
			msg.Sequence++
			msg.Updates = nil
		}
	}
	n.Receive(2, netip.AddrPort{}, msg)
	return n
}

// BenchmarkReceive measures how a node receives a ping and returns the acknowledgement, without encoding.
func BenchmarkReceive(b *testing.B) {
	n := newFilledNode(222)
	for i := range b.N {
		n.Receive(int64(i)*10, netip.AddrPort{}, &membership.Message{
			Kind: membership.KindPing, Sequence: uint64(i + 10), RequestID: 1,
			Sender: benchmarkSender, To: "me", ToInstance: n.Self().ID,
		})
	}
}
