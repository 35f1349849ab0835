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

// reserveAddrs reserves loopback addresses that no other test uses.
func reserveAddrs(t *testing.T, n int) (addrs []netip.AddrPort) {
	t.Helper()
	for range n {
		address, err := loopback.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, address)
	}
	return addrs
}

// start starts the agent of router n<index>, with the routers at all addresses as its seeds.
func start(t *testing.T, addrs []netip.AddrPort, index int, key []byte) *Agent {
	t.Helper()
	settings := membership.Settings{Name: fmt.Sprint("n", index)}
	for i, addr := range addrs {
		settings.Seeds = append(settings.Seeds, membership.Seed{Name: fmt.Sprint("n", i), Addr: addr})
	}
	agent, err := Start(settings, key, addrs[index], nil, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	return agent
}

// waitFor fails the test unless the condition holds within 15 s.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not within 15 s: " + condition)
}

func countMembers(a *Agent, state membership.State) (count int) {
	for _, m := range a.View().Members {
		if m.State == state {
			count++
		}
	}
	return count
}

// Four routers on sockets discover each other and answer the queries of a tool. A router that leaves is reported as
// left, not as dead, and is admitted again after a restart.
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
		waitFor(t, "each router sees the three others alive", func() bool { return countMembers(a, membership.StateAlive) == 3 })
	}
	view, err := Query(key, "n0", addrs[0])
	if err != nil || len(view.Members) != 3 || view.Self.Name != "n0" {
		t.Fatalf("query of n0: %+v, %v", view, err)
	}
	waitFor(t, "four routers answer and their views agree", func() bool {
		matrix := QueryAll(key, agents[0].View())
		return len(matrix.Names) == 4 && len(matrix.Views) == 4 && matrix.Views["n3"] != nil &&
			len(matrix.Disagreements()) == 0
	})
	if _, err := Query([]byte("not the key of these"), "n0", addrs[0]); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("query with another key: %v, want ErrNoAnswer", err)
	}
	agents[3].Leave()
	agents[3].Close()
	waitFor(t, "n0 and n1 see n3 as left", func() bool {
		return countMembers(agents[0], membership.StateLeft) == 1 && countMembers(agents[1], membership.StateLeft) == 1
	})
	agents[3] = start(t, addrs, 3, key)
	waitFor(t, "n3 is alive again", func() bool {
		return countMembers(agents[0], membership.StateAlive) == 3 && countMembers(agents[3], membership.StateAlive) == 3
	})
}

// Datagrams that are not valid messages of the site are dropped and counted. The members stay alive meanwhile.
func TestForeignDatagramsAreDropped(t *testing.T) {
	addrs := reserveAddrs(t, 3)
	a, b := start(t, addrs, 0, key), start(t, addrs, 1, key)
	defer a.Close()
	defer b.Close()
	c := start(t, addrs, 2, []byte("another key than theirs"))
	defer c.Close()
	waitFor(t, "a and b see each other alive", func() bool {
		return countMembers(a, membership.StateAlive) == 1 && countMembers(b, membership.StateAlive) == 1
	})
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addrs[0]))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	valid, _ := sealDatagram(key, &membership.Message{
		Kind: membership.KindPing, Sender: membership.Update{Name: "x", State: membership.StateAlive}, To: "n0",
	})
	unknownVersion := append([]byte{9}, valid[1:]...)
	forged := append([]byte{}, valid...)
	forged[5] ^= 1
	notAMessage, _ := sealDatagram(key, []int{1})
	for range 500 {
		conn.Write(valid[:10])
		conn.Write(unknownVersion)
		conn.Write(forged)
		conn.Write(notAMessage)
		conn.Write(make([]byte, 3000))
		conn.Write(valid) // not addressed to an instance
	}
	dropped := &a.Dropped
	waitFor(t, "each kind of invalid datagram is counted", func() bool {
		return dropped.Size.Load() > 0 && dropped.Version.Load() > 0 && dropped.Authentication.Load() > 0 &&
			dropped.Payload.Load() > 0 && a.View().Counts.Misaddressed > 0
	})
	time.Sleep(2 * time.Second)
	aliveAtA, aliveAtB := countMembers(a, membership.StateAlive), countMembers(b, membership.StateAlive)
	aliveAtC := countMembers(c, membership.StateAlive)
	if aliveAtA != 1 || aliveAtB != 1 || aliveAtC != 0 {
		t.Errorf("a, b and c see %d, %d and %d members alive, want 1, 1 and 0", aliveAtA, aliveAtB, aliveAtC)
	}
}

func TestReadKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	if _, err := ReadKey(path); err == nil {
		t.Error("missing key file accepted")
	}
	if err := os.WriteFile(path, []byte("short\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadKey(path); err == nil {
		t.Error("key that is too short accepted")
	}
	if err := os.WriteFile(path, append(key, '\n'), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := ReadKey(path); err != nil || string(got) != string(key) {
		t.Errorf("read key %q, %v, want %q", got, err, key)
	}
}

// Guards against a panic when an agent is closed twice, and against the announcement of a departure by an agent whose
// instance another process has taken over.
func TestClosedAgentMayBeClosedAgain(t *testing.T) {
	addrs := reserveAddrs(t, 2)
	a, b := start(t, addrs, 0, key), start(t, addrs, 1, key)
	defer b.Close()
	waitFor(t, "a and b see each other alive", func() bool {
		return countMembers(a, membership.StateAlive) == 1 && countMembers(b, membership.StateAlive) == 1
	})
	a.Handoff()
	a.Close()
	a.Close()
	if left := countMembers(b, membership.StateLeft) + countMembers(b, membership.StateLeaving); left > 0 {
		t.Error("the departure of an instance that goes on elsewhere was announced")
	}
	b.Close()
}
