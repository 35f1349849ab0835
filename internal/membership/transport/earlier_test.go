package transport

import (
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"quilldoor/internal/gateway/peerproto"
	"quilldoor/internal/membership"
)

// Words that earlier texts of this repository have sealed, by their commits, are read
// as they were meant: what they did not have is zero.
func TestEarlierWords(t *testing.T) {
	want := membership.Word{Kind: membership.Ping, N: 7, Seq: 3, To: "n2", Life: membership.ID{Life: 5, Nonce: 6}, Digest: 99,
		From:    membership.Rumour{Name: "n1", Place: "north", Addr: netip.MustParseAddrPort("10.0.0.4:7700"), ID: membership.ID{Life: 8, Nonce: 9}, Inc: 4, State: membership.Alive},
		Rumours: []membership.Rumour{{Name: "n3", ID: membership.ID{Life: 1, Nonce: 2}, Inc: 3, State: membership.Suspected, Witnesses: []uint16{17}}}}
	files, _ := filepath.Glob("testdata/word-*.bin")
	if len(files) != 3 {
		t.Fatalf("%d files", len(files))
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		var got membership.Word
		if err := peerproto.Open([]byte("a key of sixteen bytes"), b, &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %v, %+v", f, err, got)
		}
	}
}
