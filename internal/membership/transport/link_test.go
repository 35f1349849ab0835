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

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// free reserves addresses of this test's own.
func free(t *testing.T, n int) (list []netip.AddrPort) {
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
	l, err := Start(set, key, addrs[i], nil, quiet())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if is() {
			return
		}
	}
	t.Fatal("not within 15 s: " + what)
}

func count(l *Agent, s membership.State) (n int) {
	for _, x := range l.View().Members {
		if x.State == s {
			n++
		}
	}
	return n
}

// Four on real sockets: they find each other, tell a tool, tell a leaving from a
// death, and take a new life in.
func TestFourOnSockets(t *testing.T) {
	addrs := free(t, 4)
	var links []*Agent
	for i := range addrs {
		links = append(links, start(t, addrs, i, key))
	}
	defer func() {
		for _, l := range links {
			l.Close()
		}
	}()
	for _, l := range links {
		until(t, "all alive", func() bool { return count(l, membership.StateAlive) == 3 })
	}
	v, err := Query(key, "n0", addrs[0])
	if err != nil || len(v.Members) != 3 || v.Self.Name != "n0" {
		t.Fatalf("asked: %+v, %v", v, err)
	}
	until(t, "a matrix without difference", func() bool {
		m := QueryAll(key, links[0].View())
		return len(m.Names) == 4 && len(m.Views) == 4 && m.Views["n3"] != nil && len(m.Disagreements()) == 0
	})
	if _, err := Query([]byte("not the key of these"), "n0", addrs[0]); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("a stranger's question: %v", err)
	}
	links[3].Leave()
	links[3].Close()
	until(t, "it has left", func() bool {
		return count(links[0], membership.StateLeft) == 1 && count(links[1], membership.StateLeft) == 1
	})
	links[3] = start(t, addrs, 3, key)
	until(t, "it is back", func() bool {
		return count(links[0], membership.StateAlive) == 3 && count(links[3], membership.StateAlive) == 3
	})
}

// What is not a word of ours is dropped, counted, and holds nobody up.
func TestStrangersAreDropped(t *testing.T) {
	addrs := free(t, 3)
	a, b := start(t, addrs, 0, key), start(t, addrs, 1, key)
	defer a.Close()
	defer b.Close()
	c := start(t, addrs, 2, []byte("another key than theirs"))
	defer c.Close()
	until(t, "two know each other", func() bool { return count(a, membership.StateAlive) == 1 && count(b, membership.StateAlive) == 1 })
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addrs[0]))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	good, _ := sealDatagram(key, &membership.Message{Kind: membership.KindPing, Sender: membership.Update{Name: "x", State: membership.StateAlive}, To: "n0"})
	newer := append([]byte{9}, good[1:]...)
	forged := append([]byte{}, good...)
	forged[5] ^= 1
	odd, _ := sealDatagram(key, []int{1})
	for range 500 {
		conn.Write(good[:10])
		conn.Write(newer)
		conn.Write(forged)
		conn.Write(odd)
		conn.Write(make([]byte, 3000))
		conn.Write(good) // to no life of it
	}
	d := &a.Dropped
	until(t, "all are counted", func() bool {
		return d.Size.Load() > 0 && d.Version.Load() > 0 && d.Authentication.Load() > 0 && d.Payload.Load() > 0 && a.View().Counts.Misaddressed > 0
	})
	time.Sleep(2 * time.Second)
	if count(a, membership.StateAlive) != 1 || count(b, membership.StateAlive) != 1 || count(c, membership.StateAlive) != 0 {
		t.Errorf("%d, %d and %d alive", count(a, membership.StateAlive), count(b, membership.StateAlive), count(c, membership.StateAlive))
	}
}

func TestKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	if _, err := ReadKey(path); err == nil {
		t.Error("no file, and a key")
	}
	os.WriteFile(path, []byte("short\n"), 0o600)
	if _, err := ReadKey(path); err == nil {
		t.Error("a short key is taken")
	}
	os.WriteFile(path, append(key, '\n'), 0o600)
	if got, err := ReadKey(path); err != nil || string(got) != string(key) {
		t.Errorf("%q, %v", got, err)
	}
}
