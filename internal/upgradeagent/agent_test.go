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

// fakeHost records the Agent's calls of Acquire and Release.
type fakeHost struct {
	events   chan string
	released *handoff.State // that Release returns
}

func (h *fakeHost) Acquire(state *handoff.State, stateIsOwn, _ bool) error {
	switch {
	case stateIsOwn:
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
	return h.released
}

func (h *fakeHost) SetLimits(upgrade.Resources)                      {}
func (h *fakeHost) SetOtherAttempts(map[string]policy.AttemptCounts) {}
func (h *fakeHost) Reload()                                          {}
func (h *fakeHost) Heartbeat() *handoff.Message                      { return new(handoff.Message) }
func (h *fakeHost) Ready() bool                                      { return true }
func (h *fakeHost) SendToPeer(string, []byte)                        {}

// newTestAgent returns an Agent like that of Inherit, but without sockets, and the
// supervisor's end of its connection.
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
	lock, err := openServingLock(filepath.Join(folder, LockName))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		supervisor.Close()
		lock.file.Close()
	})
	return &Agent{
		Generation: 7, Sockets: map[string]*os.File{}, folder: folder, conn: conn, lock: lock,
		startedAt: time.Now(), machine: upgrade.NewAgent(),
		supervisorMessages: make(chan *handoff.Message, maxQueuedSupervisorMessages),
		peerMessages:       make(chan *handoff.Message, maxQueuedPeerMessages),
	}, supervisor
}

// receiveKind returns the next message that is of the kind. Heartbeats of the Agent are
// skipped; a message of any other kind fails the test.
func receiveKind(t *testing.T, conn *handoff.Conn, want handoff.Kind) *handoff.Message {
	t.Helper()
	for {
		message, err := conn.Receive()
		if err != nil {
			t.Fatalf("receive %v: %v", want, err)
		}
		if message.Kind == want {
			return message
		}
		if message.Kind != handoff.KindHeartbeat {
			t.Fatalf("received %v, want %v", message.Kind, want)
		}
	}
}

func expectEvent(t *testing.T, host *fakeHost, want string) {
	t.Helper()
	if got := <-host.events; got != want {
		t.Fatalf("event of the host: %q, want %q", got, want)
	}
}

func send(t *testing.T, conn *handoff.Conn, message *handoff.Message) {
	t.Helper()
	if err := conn.Send(message); err != nil {
		t.Fatal(err)
	}
}

// A process serves on command, hands its state over, serves again with that state, and
// connects to a new supervisor after the connection to its own has ended.
func TestAgentServesHandsOverAndReconnects(t *testing.T) {
	folder := t.TempDir()
	agent, supervisor := newTestAgent(t, folder)
	host := &fakeHost{events: make(chan string, 8), released: &handoff.State{Revision: 3}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ended := make(chan error, 1)
	go func() { ended <- agent.Run(context.Background(), host, nil, logrus.NewEntry(log)) }()

	if hello := receiveKind(t, supervisor, handoff.KindHello); hello.Generation != 7 || hello.Format != handoff.Format {
		t.Errorf("first hello message: %+v", hello)
	}
	receiveKind(t, supervisor, handoff.KindReady)
	send(t, supervisor, &handoff.Message{Kind: handoff.KindServe, State: &handoff.State{Revision: 2}})
	expectEvent(t, host, "acquire handed over")
	receiveKind(t, supervisor, handoff.KindAccepting)
	send(t, supervisor, &handoff.Message{Kind: handoff.KindSettle})
	receiveKind(t, supervisor, handoff.KindSettled)

	send(t, supervisor, &handoff.Message{Kind: handoff.KindQuiesce})
	expectEvent(t, host, "release")
	if released := receiveKind(t, supervisor, handoff.KindReleased); released.State == nil || released.State.Revision != 3 {
		t.Errorf("released message: %+v", released)
	}
	send(t, supervisor, &handoff.Message{Kind: handoff.KindResume})
	expectEvent(t, host, "acquire own")
	receiveKind(t, supervisor, handoff.KindAccepting)

	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(folder, SocketName), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	supervisor.Close()
	socket, err := listener.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	newSupervisor := handoff.NewConn(socket)
	defer newSupervisor.Close()
	hello := receiveKind(t, newSupervisor, handoff.KindHello)
	if hello.AgentState != upgrade.AgentServing || !hello.WasSettled {
		t.Errorf("hello message to the new supervisor: %+v", hello)
	}
	send(t, newSupervisor, &handoff.Message{Kind: handoff.KindEnd})
	if err := <-ended; err != nil {
		t.Errorf("Run: %v", err)
	}
}

// At most one process holds the serving lock, and another one can acquire it after its
// release. The locks here are open files of one process, which exclude each other like
// those of two.
func TestServingLockIsExclusive(t *testing.T) {
	path := filepath.Join(t.TempDir(), LockName)
	var locks [2]*servingLock
	for i := range locks {
		lock, err := openServingLock(path)
		if err != nil {
			t.Fatal(err)
		}
		defer lock.file.Close()
		locks[i] = lock
	}
	if !locks[0].tryAcquire() || locks[1].tryAcquire() {
		t.Error("want the first file to hold the lock, alone")
	}
	locks[0].release()
	if !locks[1].tryAcquire() || locks[0].tryAcquire() {
		t.Error("want the second file to hold the lock after its release, alone")
	}
}

func TestInheritsNothingWithoutASupervisor(t *testing.T) {
	agent, err := Inherit(func(string) string { return "" })
	if agent != nil || err != nil {
		t.Errorf("Inherit without a supervisor: %v, %v, want neither an Agent nor an error", agent, err)
	}
}
