package memberlink

import (
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"quilldoor/internal/frames"
	"quilldoor/internal/members"
)

// Words that earlier texts of this repository have sealed, by their commits, are read
// as they were meant: what they did not have is zero.
func TestEarlierWords(t *testing.T) {
	want := members.Word{Kind: members.Ping, N: 7, Seq: 3, To: "n2", Life: members.ID{Life: 5, Nonce: 6}, Digest: 99,
		From:    members.Rumour{Name: "n1", Place: "north", Addr: netip.MustParseAddrPort("10.0.0.4:7700"), ID: members.ID{Life: 8, Nonce: 9}, Inc: 4, State: members.Alive},
		Rumours: []members.Rumour{{Name: "n3", ID: members.ID{Life: 1, Nonce: 2}, Inc: 3, State: members.Suspected, Witnesses: []uint16{17}}}}
	files, _ := filepath.Glob("testdata/word-*.bin")
	if len(files) != 3 {
		t.Fatalf("%d files", len(files))
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		var got members.Word
		if err := frames.Open([]byte("a key of sixteen bytes"), b, &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %v, %+v", f, err, got)
		}
	}
}
