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

// newReleasedMessage returns a message of a process that has handed over, with a value in
// each part of its state.
func newReleasedMessage() *Message {
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

// Files written with format 1 of the messages and of the state file must still be read. A
// change that fails here has changed the number or the meaning of a key that other
// versions use.
func TestReadsEarlierFormats(t *testing.T) {
	payload, err := os.ReadFile("testdata/message-format-1.cbor")
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(payload)
	if err != nil || got.State == nil || got.State.Learned == nil || got.State.Membership == nil {
		t.Fatalf("message of format 1: %v, %+v", err, got)
	}
	want := newReleasedMessage()
	if got.Generation != want.Generation || got.State.Learned.Endpoints[0].CachedObjects[0] != 8 ||
		got.State.Membership.Sequence != 14 || got.OutstandingAttempts["c1"] != want.OutstandingAttempts["c1"] ||
		got.State.Purges[0] != want.State.Purges[0] || got.State.Endpoints[0] != want.State.Endpoints[0] {
		t.Errorf("message of format 1: %+v", got)
	}
	// Unknown keys are ignored, missing ones are zero.
	var keys map[int]any
	if err := cbor.Unmarshal(payload, &keys); err != nil {
		t.Fatal(err)
	}
	keys[900] = "of a later version"
	delete(keys, 5)
	if payload, err = cbor.Marshal(keys); err != nil {
		t.Fatal(err)
	}
	if got, err = Decode(payload); err != nil || got.Generation != 9 || got.Requests.Completed != 0 {
		t.Errorf("message with an unknown and a missing key: %v, %+v", err, got)
	}
	file, err := ReadStateFile("testdata/state-format-1.json")
	if err != nil || file.Settled.Generation != 3 || file.Previous.Generation != 2 || file.Running[0].PID != 77 || file.Next != 5 {
		t.Errorf("state file of format 1: %v, %+v", err, file)
	}
	for text, wantError := range map[string]string{
		`{"format": 2, "settled": {}}`: "written by a later version",
		`{}`:                           "settled",
		`{"format":`:                   "JSON",
	} {
		if _, err := ParseStateFile("state.json", []byte(text)); err == nil || !strings.Contains(err.Error(), wantError) {
			t.Errorf("state file %s: error %v, want one with %q", text, err, wantError)
		}
	}
}

// connPair returns both ends of a connection, and the socket of the first one.
func connPair(t *testing.T) (a, b *Conn, socketOfA *net.UnixConn) {
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
	return a, b, a.socket
}

// A connection carries messages and descriptors. It must return an error for a message
// that is truncated, too long or malformed, and must not panic when the peer closes it.
func TestConnCarriesMessagesAndRejectsBrokenOnes(t *testing.T) {
	a, b, _ := connPair(t)
	file, err := os.Create(filepath.Join(t.TempDir(), "f"))
	if err != nil {
		t.Fatal(err)
	}
	file.WriteString("handed down")
	sent := make(chan error, 1)
	// The connection is an argument, since a is assigned anew below.
	go func(sender *Conn) { sent <- sender.Send(newReleasedMessage(), file) }(a)
	message, err := b.Receive()
	if err != nil || message.Generation != 9 {
		t.Fatalf("received message: %v, %+v", err, message)
	}
	if err := <-sent; err != nil {
		t.Error(err)
	}
	received := b.TakeSockets([]string{"listen"})["listen"]
	text := make([]byte, 20)
	if n, _ := received.ReadAt(text, 0); string(text[:n]) != "handed down" {
		t.Errorf("content of the received file: %q", text[:n])
	}
	for name, frame := range map[string][]byte{
		"truncated": {0, 0, 0, 9, 1},
		"too long":  {255, 0, 0, 0},
		"malformed": {0, 0, 0, 1, 0},
	} {
		a, b, socketOfA := connPair(t)
		socketOfA.Write(frame)
		a.Close()
		if message, err := b.Receive(); err == nil {
			t.Errorf("%s message was received: %+v", name, message)
		}
	}
	// A peer that does not read must not block the sender: Send times out and closes the
	// connection.
	a, b, _ = connPair(t)
	defer b.Close()
	long := &Message{Kind: KindServe, Note: strings.Repeat("x", MaxMessageBytes/2)}
	if err := a.Send(long); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("Send to a peer that does not read: error %v, want %v", err, os.ErrDeadlineExceeded)
	}
	if err := a.Send(&Message{Kind: KindServe}); err == nil {
		t.Error("Send succeeded after a message that was sent only in part")
	}
}

// A write that fails must leave the old file as it was, and no temporary file.
func TestWriteFileAtomicKeepsTheOldFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "f")
	if err := WriteFileAtomic(path, []byte("one")); err != nil {
		t.Fatal(err)
	}
	if err := WriteFileAtomic(filepath.Join(dir, "no", "f"), nil); err == nil {
		t.Error("a file was written in a folder that does not exist")
	}
	if err := os.MkdirAll(filepath.Join(dir, "d", "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := WriteFileAtomic(filepath.Join(dir, "d"), []byte("two")); err == nil {
		t.Error("a file replaced a folder")
	}
	if text, _ := os.ReadFile(path); string(text) != "one" {
		t.Errorf("content of the old file: %q", text)
	}
	entries, _ := os.ReadDir(dir)
	if len(entries) != 2 {
		t.Errorf("folder has %v, want the old file and the subfolder only", entries)
	}
}

// No input makes Decode panic, and none that it accepts makes a policy that restores the
// state panic.
func FuzzDecode(f *testing.F) {
	payload, err := cbor.Marshal(newReleasedMessage())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(payload)
	f.Add([]byte{0xa1, 1, 1})
	f.Fuzz(func(t *testing.T, payload []byte) {
		message, err := Decode(payload)
		if err != nil {
			return
		}
		if message.State != nil && message.State.Learned != nil {
			router := policy.New(policy.Settings{Zone: "z", EndpointKinds: []string{"box"}}, 1)
			_ = router.Restore(message.State.Learned) // after an error it has restored nothing
			router.Handle(1, policy.Event{Kind: policy.EventOtherGeneration, InFlight: message.OutstandingAttempts}, nil)
			router.Handle(2, policy.Event{Kind: policy.EventTimer}, nil)
		}
		if encoded, err := cbor.Marshal(message); err != nil || bytes.Equal(encoded, nil) {
			t.Fatalf("encode a decoded message: %v, %d bytes", err, len(encoded))
		}
	})
}
