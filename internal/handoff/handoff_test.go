package handoff

import (
	"bytes"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"quilldoor/internal/membership"
	"quilldoor/internal/policy"
	"quilldoor/internal/upgrade"
)

// sample is a message with something in every part.
func sample() *Message {
	var learned policy.Snapshot
	for i := range learned.SketchRows {
		learned.SketchRows[i] = []uint64{1, 2}
	}
	learned.SketchDoorkeeper, learned.SketchSample = []uint64{3}, 4
	learned.Endpoints = []policy.EndpointSnapshot{{
		ID: "c1", StartedAt: 5, Health: 1, ReservedAt: []int64{6}, ReservedWork: []int64{7}, CachedObjects: []uint64{8},
	}}
	learned.Purges = []policy.PurgeSnapshot{{Object: "o", Group: 1, At: 2}}
	member := &membership.HandoffState{
		ID: membership.InstanceID{Epoch: 11, Nonce: 12}, Incarnation: 13, Sequence: 14, State: membership.StateAlive,
	}
	return &Message{
		Kind: KindReleased, Format: Format, Generation: 9,
		State: &State{
			Revision: 10, Endpoints: []Endpoint{{ID: "c1", Address: "127.0.0.1:1", State: "active"}},
			Learned: &learned, Membership: member, Purges: []Purge{{Object: "o", Group: 1, At: 2}},
		},
		Requests: upgrade.RequestCounts{Completed: 15}, OutstandingAttempts: map[string]policy.AttemptCounts{"c1": {1, 2, 3}},
	}
}

// What version 1 wrote is still read. A change that fails here has changed the meaning
// of a key that other versions use.
func TestReadsEarlierFormats(t *testing.T) {
	b, err := os.ReadFile("testdata/message-format-1.cbor")
	if err != nil {
		t.Fatal(err)
	}
	m, err := Decode(b)
	if err != nil || m.State == nil || m.State.Learned == nil || m.State.Membership == nil {
		t.Fatalf("%v, %+v", err, m)
	}
	s := sample()
	if m.Generation != s.Generation || m.State.Learned.Endpoints[0].CachedObjects[0] != 8 ||
		m.State.Membership.Sequence != 14 || m.OutstandingAttempts["c1"] != s.OutstandingAttempts["c1"] ||
		m.State.Purges[0] != s.State.Purges[0] || m.State.Endpoints[0] != s.State.Endpoints[0] {
		t.Errorf("%+v", m)
	}
	// Unknown keys are ignored, missing ones are zero.
	var keys map[int]any
	if err := cbor.Unmarshal(b, &keys); err != nil {
		t.Fatal(err)
	}
	keys[900] = "of a later version"
	delete(keys, 5)
	if b, err = cbor.Marshal(keys); err != nil {
		t.Fatal(err)
	}
	if m, err = Decode(b); err != nil || m.Generation != 9 || m.Requests.Completed != 0 {
		t.Errorf("%v, %+v", err, m)
	}
	f, err := ReadFile("testdata/state-format-1.json")
	if err != nil || f.Settled.Generation != 3 || f.Previous.Generation != 2 || f.Running[0].PID != 77 || f.Next != 5 {
		t.Errorf("%v, %+v", err, f)
	}
	for text, want := range map[string]string{
		`{"format": 2, "settled": {}}`: "written by a later version",
		`{}`:                           "settled",
		`{"format":`:                   "JSON",
	} {
		if _, err := ParseFile("state.json", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// connPair returns both ends of a connection, and the first one's socket.
func connPair(t *testing.T) (a, b *Conn, sock *net.UnixConn) {
	t.Helper()
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	a, err = FromFile(os.NewFile(uintptr(fds[0]), "a"))
	if err != nil {
		t.Fatal(err)
	}
	b, err = FromFile(os.NewFile(uintptr(fds[1]), "b"))
	if err != nil {
		t.Fatal(err)
	}
	return a, b, a.sock
}

// Messages and descriptors go over a socket. One that is truncated, too long or no
// message is an error, and a reset is no panic.
func TestConnCarriesMessagesAndRejectsBrokenOnes(t *testing.T) {
	a, b, _ := connPair(t)
	f, err := os.Create(filepath.Join(t.TempDir(), "f"))
	if err != nil {
		t.Fatal(err)
	}
	f.WriteString("handed down")
	sent := make(chan error, 1)
	go func(sender *Conn) { sent <- sender.Send(sample(), f) }(a) // a itself is assigned anew below
	m, err := b.Receive()
	if err != nil || m.Generation != 9 {
		t.Fatalf("%v, %+v", err, m)
	}
	if err := <-sent; err != nil {
		t.Error(err)
	}
	got := b.Sockets([]string{"listen"})["listen"]
	text := make([]byte, 20)
	if n, _ := got.ReadAt(text, 0); string(text[:n]) != "handed down" {
		t.Errorf("%q", text[:n])
	}
	for name, raw := range map[string][]byte{
		"short":      {0, 0, 0, 9, 1},
		"long":       {255, 0, 0, 0},
		"no message": {0, 0, 0, 1, 0},
	} {
		a, b, sock := connPair(t)
		sock.Write(raw)
		a.Close()
		if m, err := b.Receive(); err == nil {
			t.Errorf("%s: %+v", name, m)
		}
	}
	// A peer that does not read does not block the sender for ever, and is disconnected.
	a, b, _ = connPair(t)
	defer b.Close()
	big := &Message{Kind: KindServe, Note: strings.Repeat("x", MaxMessageBytes/2)}
	if err := a.Send(big); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a message that nobody reads: %v", err)
	}
	if err := a.Send(&Message{Kind: KindServe}); err == nil {
		t.Error("a message after half a message")
	}
}

// A write that fails leaves the old file whole, and nothing behind.
func TestWriteFileAtomicKeepsTheOldFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "f")
	if err := WriteFileAtomic(path, []byte("one")); err != nil {
		t.Fatal(err)
	}
	if err := WriteFileAtomic(filepath.Join(dir, "no", "f"), nil); err == nil {
		t.Error("written where there is no folder")
	}
	if err := os.MkdirAll(filepath.Join(dir, "d", "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := WriteFileAtomic(filepath.Join(dir, "d"), []byte("two")); err == nil {
		t.Error("written in the place of a folder")
	}
	if text, _ := os.ReadFile(path); string(text) != "one" {
		t.Errorf("%q", text)
	}
	list, _ := os.ReadDir(dir)
	if len(list) != 2 {
		t.Errorf("left behind: %v", list)
	}
}

func FuzzDecode(f *testing.F) {
	b, err := cbor.Marshal(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0xa1, 1, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		if m.State != nil && m.State.Learned != nil { // nothing in it makes the policy panic
			p := policy.New(policy.Settings{Zone: "z", EndpointKinds: []string{"box"}}, 1)
			_ = p.Restore(m.State.Learned) // a rejected snapshot is as good as none
			p.Handle(1, policy.Event{Kind: policy.EventOtherGeneration, InFlight: m.OutstandingAttempts}, nil)
			p.Handle(2, policy.Event{Kind: policy.EventTimer}, nil)
		}
		if again, err := cbor.Marshal(m); err != nil || bytes.Equal(again, nil) {
			t.Fatal(err)
		}
	})
}
