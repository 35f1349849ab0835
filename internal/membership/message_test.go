package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
	"quilldoor/internal/simfleet"
)

// All lists stay bounded while updates about new names keep arriving.
func TestListsAreBounded(t *testing.T) {
	n := newLoneNode(2)
	states := []membership.State{
		membership.StateAlive, membership.StateDead, membership.StateLeft, membership.StateSuspect,
	}
	now := int64(1)
	for i := range 3000 {
		now += 50 * millisecond
		n.Tick(now)
		sender := membership.Update{
			Name: "n1", ID: membership.InstanceID{Epoch: 9, Nonce: 9}, Incarnation: 1,
			State: membership.StateAlive, Addr: simfleet.Addr(1),
		}
		msg := &membership.Message{
			Kind: membership.KindStateExchange, Sequence: uint64(i + 1), Sender: sender, To: "me", ToInstance: n.Self().ID,
		}
		for k := range 20 {
			msg.Updates = append(msg.Updates, membership.Update{
				Name: fmt.Sprint("x", i, "-", k), ID: membership.InstanceID{Epoch: 1, Nonce: 1}, Incarnation: 1,
				State: states[k%4],
			})
		}
		n.Receive(now, netip.AddrPort{}, msg)
		known, pending, relayed, queued, exchanged := n.ListSizes()
		if known > 512 || pending > 64 || relayed > 64 || queued > 512 || exchanged > 512 {
			t.Fatalf("%d members, %d pending and %d relayed probes, %d queued updates, %d updates in exchange",
				known, pending, relayed, queued, exchanged)
		}
	}
	if n.Counts.RejectedFull == 0 {
		t.Error("no member was rejected: the bound of members was not reached")
	}
}

// Receive handles any decodable message without a panic, and returns a bounded number of messages.
func FuzzReceive(f *testing.F) {
	n := newLoneNode(2)
	self := n.Self()
	for k := membership.KindHello; k <= membership.KindQueryResponse; k++ {
		b, _ := cbor.Marshal(&membership.Message{
			Kind:      k,
			Sequence:  1,
			RequestID: 1,
			Sender: membership.Update{
				Name: "n1", Addr: simfleet.Addr(1), ID: membership.InstanceID{Epoch: 1, Nonce: 2}, Incarnation: 1,
				State: membership.StateAlive,
			},
			To:            "me",
			ToInstance:    self.ID,
			Target:        "n2",
			BucketDigests: make([]uint32, 16),
			Updates: []membership.Update{
				{Name: "n2", State: membership.StateSuspect, SuspectedBy: []uint16{3}},
				{Name: "me", State: membership.StateDead, ID: self.ID, Incarnation: 5},
			},
		})
		f.Add(b, int64(1000))
	}
	f.Fuzz(func(t *testing.T, b []byte, later int64) {
		n := newLoneNode(2)
		var msg membership.Message
		if cbor.Unmarshal(b, &msg) != nil {
			return
		}
		now := max(later%(100*second), 1)
		for range 3 {
			received := msg
			received.Updates = slices.Clone(msg.Updates)
			if out := n.Receive(now, simfleet.Addr(2), &received); len(out) > 300 {
				t.Fatalf("%d messages in response to one, want at most 300", len(out))
			}
			now += 50 * millisecond
			n.Tick(now)
		}
		n.View()
		n.Leave(now)
		n.Depart(now)
	})
}

// A page of a view fits into a datagram with names and zones of the maximum length.
func TestViewPageFitsDatagram(t *testing.T) {
	settings := membership.Settings{
		Name: strings.Repeat("m", 64), Zone: strings.Repeat("p", 64), Addr: simfleet.Addr(0), Seeds: simfleet.Seeds(2),
	}
	n := membership.New(settings, rand.New(rand.NewPCG(1, 1)), 1)
	msg := &membership.Message{
		Kind:     membership.KindStateExchange,
		Sequence: 1,
		Sender: membership.Update{
			Name: "n1", ID: membership.InstanceID{Epoch: 1, Nonce: 2}, Incarnation: 1, State: membership.StateAlive,
		},
		To:         n.Self().Name,
		ToInstance: n.Self().ID,
	}
	for i := range 150 {
		msg.Updates = append(msg.Updates, membership.Update{
			Name: strings.Repeat("x", 60) + fmt.Sprint(i), Zone: strings.Repeat("p", 64), Addr: simfleet.Addr(1),
			ID: membership.InstanceID{Epoch: 1 << 31, Nonce: 1 << 31}, Incarnation: 1 << 30, State: membership.StateAlive,
		})
	}
	n.Receive(2, netip.AddrPort{}, msg)
	memberCount := 0
	for offset, now := 0, second; offset < 152; now += 100 * millisecond {
		_, _, _ = n.Tick(now)
		out := n.Receive(now, simfleet.Addr(2), &membership.Message{
			Kind: membership.KindQuery, RequestID: uint32(offset), To: n.Self().Name,
			Sender: membership.Update{Name: "?", State: membership.StateAlive},
		})
		if len(out) != 1 || len(out[0].Message.View.Members) == 0 {
			t.Fatalf("query from index %d: %d messages, want one with at least one member", offset, len(out))
		}
		b, _ := cbor.Marshal(out[0].Message)
		if len(b) > 1200 {
			t.Fatalf("page from index %d has %d bytes, want at most 1200", offset, len(b))
		}
		memberCount += len(out[0].Message.View.Members)
		offset += len(out[0].Message.View.Members)
	}
	if memberCount != 152 {
		t.Errorf("the pages have %d members, want 152", memberCount)
	}
}

// Fields that a newer version has added are ignored, and fields that an older version lacks are zero.
func TestFieldsOfOtherVersions(t *testing.T) {
	sender := map[int]any{1: "n1", 4: []int{1, 2}, 5: 1, 6: 2, 99: "new"}
	b, err := cbor.Marshal(map[int]any{1: 3, 2: 5, 3: 9, 4: sender, 5: "me", 77: []int{1}})
	if err != nil {
		t.Fatal(err)
	}
	var msg membership.Message
	err = cbor.Unmarshal(b, &msg)
	if err != nil || msg.Kind != membership.KindPing || msg.Sender.Name != "n1" ||
		msg.Sender.State != membership.StateAlive || msg.ViewDigest != 0 {
		t.Errorf("decoded message %+v, error %v", msg, err)
	}
}

// A fleet converges, and detects a failure, with messages of at most 256 bytes, the limit of the simulator between
// instances.
func TestSmallMessages(t *testing.T) {
	const maxBytes = 256
	network := netsim.New(300, 700, rand.New(rand.NewPCG(1, 2)))
	f := simfleet.New(24, 1, network, func(h *simfleet.Host, now int64) simfleet.Detector {
		settings := membership.Settings{
			Name: h.Name, Zone: "office", Addr: simfleet.Addr(h.ID), Seeds: simfleet.Seeds(3), Epoch: 1,
			MaxMessageBytes: maxBytes,
		}
		return membership.New(settings, rand.New(rand.NewPCG(1, uint64(h.ID))), now)
	})
	f.BeforeSend = func(h *simfleet.Host, msg *membership.Message) {
		if b, _ := cbor.Marshal(msg); len(b)+17 > maxBytes {
			t.Fatalf("%s sends a message of kind %d with %d bytes, want at most %d", h.Name, msg.Kind, len(b)+17, maxBytes)
		}
	}
	for i := range 24 {
		f.Start(i)
	}
	mustConverge(t, f, 30*second)
	f.Kill(7)
	mustConverge(t, f, 10*second)
}
