package upgradeagent

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"quilldoor/internal/handoff"
	"quilldoor/internal/policy"
	"quilldoor/internal/upgrade"
)

// fakeHost records what the Agent has it do. Its heartbeats never come first in these tests.
type fakeHost struct {
	events chan string
	known  *handoff.State
}

func (h *fakeHost) Acquire(state *handoff.State, own, _ bool) error {
	switch {
	case own:
		h.events <- "acquire own"
	case state != nil:
		h.events <- "acquire handed over"
	default:
		h.events <- "acquire cold"
	}
	return nil
}

func (h *fakeHost) Release() *handoff.State {
	h.events <- "release"
	return h.known
}

func (h *fakeHost) SetLimits(upgrade.Resources)                      {}
func (h *fakeHost) SetOtherAttempts(map[string]policy.AttemptCounts) {}
func (h *fakeHost) Reload()                                          {}
func (h *fakeHost) Heartbeat() *handoff.Message                      { return new(handoff.Message) }
func (h *fakeHost) Ready() bool                                      { return true }
func (h *fakeHost) SendToPeer(string, []byte)                        {}

// newTestAgent returns an Agent as Inherit makes it, and the supervisor's end of its connection.
func newTestAgent(t *testing.T, folder string) (*Agent, *handoff.Conn) {
	t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := handoff.FromFile(os.NewFile(uintptr(pair[0]), "agent"))
	if err != nil {
		t.Fatal(err)
	}
	supervisor, err := handoff.FromFile(os.NewFile(uintptr(pair[1]), "supervisor"))
	if err != nil {
		t.Fatal(err)
	}
	lock, err := openLock(filepath.Join(folder, LockName))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		supervisor.Close()
		lock.file.Close()
	})
	return &Agent{
		Number: 7, Sockets: map[string]*os.File{}, folder: folder, conn: conn, lock: lock,
		startedAt: time.Now(), machine: upgrade.NewAgent(),
		received:     make(chan *handoff.Message, maxQueuedMessages),
		peerMessages: make(chan *handoff.Message, maxQueuedPeerMessages),
	}, supervisor
}

// expect reads messages until one of the kind comes, past heartbeats.
func expect(t *testing.T, conn *handoff.Conn, kind handoff.Kind) *handoff.Message {
	t.Helper()
	for {
		m, err := conn.Receive()
		if err != nil {
			t.Fatalf("instead of %v: %v", kind, err)
		}
		if m.Kind == kind {
			return m
		}
		if m.Kind != handoff.KindHeartbeat {
			t.Fatalf("%v instead of %v", m.Kind, kind)
		}
	}
}

func expectEvent(t *testing.T, h *fakeHost, want string) {
	t.Helper()
	if got := <-h.events; got != want {
		t.Fatalf("%q instead of %q", got, want)
	}
}

func send(t *testing.T, conn *handoff.Conn, m *handoff.Message) {
	t.Helper()
	if err := conn.Send(m); err != nil {
		t.Fatal(err)
	}
}

// A process serves on command, hands its state over, takes it back, and looks for a new
// supervisor when it loses its own.
func TestAgentServesHandsOverAndReconnects(t *testing.T) {
	folder := t.TempDir()
	agent, supervisor := newTestAgent(t, folder)
	host := &fakeHost{events: make(chan string, 8), known: &handoff.State{Revision: 3}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ended := make(chan error, 1)
	go func() { ended <- agent.Run(context.Background(), host, nil, logrus.NewEntry(log)) }()

	if hello := expect(t, supervisor, handoff.KindHello); hello.Generation != 7 || hello.Format != handoff.Format {
		t.Errorf("%+v", hello)
	}
	expect(t, supervisor, handoff.KindReady)
	send(t, supervisor, &handoff.Message{Kind: handoff.KindServe, State: &handoff.State{Revision: 2}})
	expectEvent(t, host, "acquire handed over")
	expect(t, supervisor, handoff.KindAccepting)
	send(t, supervisor, &handoff.Message{Kind: handoff.KindSettle})
	expect(t, supervisor, handoff.KindSettled)

	send(t, supervisor, &handoff.Message{Kind: handoff.KindQuiesce})
	expectEvent(t, host, "release")
	if released := expect(t, supervisor, handoff.KindReleased); released.State == nil || released.State.Revision != 3 {
		t.Errorf("%+v", released)
	}
	send(t, supervisor, &handoff.Message{Kind: handoff.KindResume})
	expectEvent(t, host, "acquire own")
	expect(t, supervisor, handoff.KindAccepting)

	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(folder, SocketName), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	supervisor.Close()
	sock, err := listener.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	next := handoff.NewConn(sock)
	defer next.Close()
	hello := expect(t, next, handoff.KindHello)
	if hello.AgentState != upgrade.AgentServing || !hello.WasSettled {
		t.Errorf("%+v", hello)
	}
	send(t, next, &handoff.Message{Kind: handoff.KindEnd})
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Only one process holds the serving lock.
func TestServingLockIsExclusive(t *testing.T) {
	path := filepath.Join(t.TempDir(), LockName)
	var locks [2]*servingLock
	for i := range locks {
		lock, err := openLock(path)
		if err != nil {
			t.Fatal(err)
		}
		defer lock.file.Close()
		locks[i] = lock
	}
	if !locks[0].tryAcquire() || locks[1].tryAcquire() {
		t.Error("two hold the lock, or none does")
	}
	locks[0].release()
	if !locks[1].tryAcquire() || locks[0].tryAcquire() {
		t.Error("the lock did not pass on")
	}
}

func TestInheritsNothingWithoutASupervisor(t *testing.T) {
	agent, err := Inherit(func(string) string { return "" })
	if agent != nil || err != nil {
		t.Errorf("%v, %v", agent, err)
	}
}
