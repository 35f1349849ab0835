package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/loopback"
	"quilldoor/internal/membership"
)

var key = []byte("the key of these tests")

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// reserveAddrs reserves addresses of this test's own.
func reserveAddrs(t *testing.T, n int) (list []netip.AddrPort) {
	t.Helper()
	for range n {
		address, err := loopback.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, address)
	}
	return list
}

func start(t *testing.T, addrs []netip.AddrPort, i int, key []byte) *Agent {
	t.Helper()
	set := membership.Settings{Name: fmt.Sprint("n", i)}
	for k, a := range addrs {
		set.Seeds = append(set.Seeds, membership.Seed{Name: fmt.Sprint("n", k), Addr: a})
	}
	l, err := Start(set, key, addrs[i], nil, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not within 15 s: " + what)
}

func countMembers(a *Agent, state membership.State) (count int) {
	for _, m := range a.View().Members {
		if m.State == state {
			count++
		}
	}
	return count
}

// Four routers on sockets find each other, answer a tool, see a departure as no failure and admit a restarted router.
func TestFourRoutersOnSockets(t *testing.T) {
	addrs := reserveAddrs(t, 4)
	var agents []*Agent
	for i := range addrs {
		agents = append(agents, start(t, addrs, i, key))
	}
	defer func() {
		for _, a := range agents {
			a.Close()
		}
	}()
	for _, a := range agents {
		waitFor(t, "all alive", func() bool { return countMembers(a, membership.StateAlive) == 3 })
	}
	v, err := Query(key, "n0", addrs[0])
	if err != nil || len(v.Members) != 3 || v.Self.Name != "n0" {
		t.Fatalf("query: %+v, %v", v, err)
	}
	waitFor(t, "a matrix without disagreements", func() bool {
		m := QueryAll(key, agents[0].View())
		return len(m.Names) == 4 && len(m.Views) == 4 && m.Views["n3"] != nil && len(m.Disagreements()) == 0
	})
	if _, err := Query([]byte("not the key of these"), "n0", addrs[0]); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("query with another key: %v", err)
	}
	agents[3].Leave()
	agents[3].Close()
	waitFor(t, "it has left", func() bool {
		return countMembers(agents[0], membership.StateLeft) == 1 && countMembers(agents[1], membership.StateLeft) == 1
	})
	agents[3] = start(t, addrs, 3, key)
	waitFor(t, "it is back", func() bool {
		return countMembers(agents[0], membership.StateAlive) == 3 && countMembers(agents[3], membership.StateAlive) == 3
	})
}

// Datagrams that are no message of the site are dropped and counted, and delay nobody.
func TestForeignDatagramsAreDropped(t *testing.T) {
	addrs := reserveAddrs(t, 3)
	a, b := start(t, addrs, 0, key), start(t, addrs, 1, key)
	defer a.Close()
	defer b.Close()
	c := start(t, addrs, 2, []byte("another key than theirs"))
	defer c.Close()
	waitFor(t, "two know each other", func() bool {
		return countMembers(a, membership.StateAlive) == 1 && countMembers(b, membership.StateAlive) == 1
	})
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addrs[0]))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	good, _ := sealDatagram(key, &membership.Message{
		Kind: membership.KindPing, Sender: membership.Update{Name: "x", State: membership.StateAlive}, To: "n0",
	})
	newer := append([]byte{9}, good[1:]...)
	forged := append([]byte{}, good...)
	forged[5] ^= 1
	noMessage, _ := sealDatagram(key, []int{1})
	for range 500 {
		conn.Write(good[:10])
		conn.Write(newer)
		conn.Write(forged)
		conn.Write(noMessage)
		conn.Write(make([]byte, 3000))
		conn.Write(good) // to no instance
	}
	d := &a.Dropped
	waitFor(t, "all are counted", func() bool {
		return d.Size.Load() > 0 && d.Version.Load() > 0 && d.Authentication.Load() > 0 && d.Payload.Load() > 0 &&
			a.View().Counts.Misaddressed > 0
	})
	time.Sleep(2 * time.Second)
	aliveAtA, aliveAtB := countMembers(a, membership.StateAlive), countMembers(b, membership.StateAlive)
	aliveAtC := countMembers(c, membership.StateAlive)
	if aliveAtA != 1 || aliveAtB != 1 || aliveAtC != 0 {
		t.Errorf("%d, %d and %d alive", aliveAtA, aliveAtB, aliveAtC)
	}
}

func TestReadKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	if _, err := ReadKey(path); err == nil {
		t.Error("a key without a file")
	}
	if err := os.WriteFile(path, []byte("short\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadKey(path); err == nil {
		t.Error("a short key is accepted")
	}
	if err := os.WriteFile(path, append(key, '\n'), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := ReadKey(path); err != nil || string(got) != string(key) {
		t.Errorf("%q, %v", got, err)
	}
}
