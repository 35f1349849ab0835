package roster

import (
	"math/rand/v2"
	"testing"

	"quilldoor/internal/members"
	"quilldoor/internal/ways"
)

const ms, second = 1000, 1_000_000

// site makes a fleet of real knowledge with the first three as seeds, all started.
func site(n int, seed uint64) *Fleet {
	net := ways.New(300, 400, rand.New(rand.NewPCG(seed, 2)))
	f := New(n, seed, net, func(h *Host, now int64) Speaker {
		return members.New(members.Settings{Name: h.Name, Place: "office", Addr: Addr(h.ID), Seeds: Seeds(min(n, 3)), Life: uint32(h.life)},
			rand.New(rand.NewPCG(seed, uint64(h.ID)<<8|uint64(h.life))), now)
	})
	for i := range n {
		f.Start(i)
	}
	return f
}

func agreeBy(t *testing.T, f *Fleet, within int64) int64 {
	t.Helper()
	from := f.Now
	for at := f.Now; at <= from+within; at += 50 * ms {
		f.Until(at)
		if ok, _ := f.Agree(); ok {
			return f.Now - from
		}
	}
	_, why := f.Agree()
	t.Errorf("no agreement within %d ms: %s", within/ms, why)
	return within
}

func TestSmoke(t *testing.T) {
	for _, n := range []int{2, 3, 6, 24, 60} {
		f := site(n, 1)
		took := agreeBy(t, f, 10*second)
		f.Until(f.Now + 5*second)
		b0 := f.Hosts[n-1].SentBytes
		f.Until(f.Now + 5*second)
		t.Logf("%d: agreed after %d ms; %d B/s sent when calm", n, took/ms, (f.Hosts[n-1].SentBytes-b0)/5)
		f.Kill(n - 1)
		took = agreeBy(t, f, 10*second)
		t.Logf("   death known after %d ms", took/ms)
		f.Start(n - 1)
		took = agreeBy(t, f, 10*second)
		t.Logf("   return known after %d ms", took/ms)
	}
}
