package transport

import (
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"quilldoor/internal/membership"
)

// Datagrams that earlier versions wrote, with the commit in the name of each file, decode to the message that they
// encoded. Fields that those versions lacked are zero.
func TestDatagramsOfEarlierVersions(t *testing.T) {
	want := membership.Message{
		Kind:       membership.KindPing,
		Sequence:   7,
		RequestID:  3,
		To:         "n2",
		ToInstance: membership.InstanceID{Epoch: 5, Nonce: 6},
		ViewDigest: 99,
		Sender: membership.Update{
			Name:        "n1",
			Zone:        "north",
			Addr:        netip.MustParseAddrPort("10.0.0.4:7700"),
			ID:          membership.InstanceID{Epoch: 8, Nonce: 9},
			Incarnation: 4,
			State:       membership.StateAlive,
		},
		Updates: []membership.Update{{
			Name:        "n3",
			ID:          membership.InstanceID{Epoch: 1, Nonce: 2},
			Incarnation: 3,
			State:       membership.StateSuspect,
			SuspectedBy: []uint16{17},
		}},
	}
	files, _ := filepath.Glob("testdata/datagram-*.bin")
	if len(files) != 3 {
		t.Fatalf("%d datagram files in testdata, want 3", len(files))
	}
	for _, file := range files {
		datagram, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var got membership.Message
		if err := openDatagram([]byte("a key of sixteen bytes"), datagram, &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: decoded %+v, %v, want %+v", file, got, err, want)
		}
	}
}
