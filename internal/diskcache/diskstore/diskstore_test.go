package diskstore_test

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"os"
	"os/exec"
	"slices"
	"testing"

	"quilldoor/internal/crashfs"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskstore"
)

var super = diskstore.Superblock{SlotBytes: diskstore.MinSlotBytes, Seed: 5}

// found is what a recovery tells.
type found struct {
	diskstore.Recovery
	Entries []*diskstore.Entry
}

func open(t testing.TB, fs diskstore.FS) (*diskstore.Store, found) {
	t.Helper()
	s, err := diskstore.Open(fs, super)
	if err != nil {
		t.Fatal(err)
	}
	entries := diskstore.Entries{}
	r, err := s.Recover(entries)
	if err != nil {
		t.Fatal(err)
	}
	return s, found{r, slices.Collect(maps.Values(entries))}
}

// put writes a record of a body over given slots and makes it last.
func put(t testing.TB, s *diskstore.Store, seq uint64, body string, runs ...diskcache.Extent) diskstore.Entry {
	t.Helper()
	r := diskstore.Record{Seq: seq, Issued: 77, Part: 3, Class: "page", Object: "ab", Tag: "tag", Group: 9, BodyBytes: len(body)}
	if err := s.Write(runs, &r, [][]byte{[]byte(body)[:len(body)/2], []byte(body)[len(body)/2:]}); err != nil {
		t.Fatal(err)
	}
	e := diskstore.Entry{Key: seq, Object: 2, Issued: 77, Seq: seq, Length: r.Length(), ClassHash: diskstore.ClassHash("page"), Group: 9, Extents: runs}
	if err := s.Commit([]diskstore.Entry{e}, nil); err != nil {
		t.Fatal(err)
	}
	return e
}

func TestRecordsInPieces(t *testing.T) {
	fs := crashfs.New()
	s, r := open(t, fs)
	body := string(bytes.Repeat([]byte("0123456789abcdef"), 1200))
	var runs []diskcache.Extent
	for i := range uint32(20) { // each slot apart: a put and four frames more
		runs = append(runs, diskcache.Extent{Start: 2 * i, Count: 1})
	}
	want := put(t, s, 7, body, runs...)
	put(t, s, 8, "", diskcache.Extent{Start: 1, Count: 1})
	if err := s.Commit(nil, []diskcache.Drop{{Key: 8, Seq: 8}, {Key: 7, Seq: 6}}); err != nil {
		t.Fatal(err)
	}
	for range 2 { // as it was written, and written anew
		s.Close()
		s, r = open(t, fs)
		if len(r.Entries) != 1 || r.BadFrames != 0 || !slices.Equal(r.Entries[0].Extents, runs) || r.Entries[0].Length != want.Length {
			t.Fatalf("%+v", r)
		}
		rec, from, err := s.Read(r.Entries[0].Extents, r.Entries[0].Length)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(from)
		if err != nil || string(got) != body || !from.Intact() || rec.Part != 3 || rec.Tag != "tag" || rec.Object != "ab" {
			t.Fatalf("%+v, %d bytes, %v", rec, len(got), err)
		}
		if err := s.Compact(func(tell func(*diskstore.Entry) error) error { return tell(r.Entries[0]) }); err != nil {
			t.Fatal(err)
		}
	}
	names, _ := fs.List()
	if !slices.Equal(names, []string{"data", "index-0000000000000002", "store"}) {
		t.Fatalf("files %q", names)
	}
	if err := s.Write(runs[:2], &diskstore.Record{BodyBytes: len(body)}, [][]byte{[]byte(body)}); !errors.Is(err, diskstore.ErrCorruptRecord) {
		t.Errorf("longer than its slots: %v", err)
	}
	if (&diskstore.Record{Tag: string(make([]byte, 256))}).Length() != 0 {
		t.Error("a tag that no byte can tell the length of")
	}
}

func TestLookFindsWhatIsWrong(t *testing.T) {
	fs := crashfs.New()
	s, _ := open(t, fs)
	put(t, s, 1, "one", diskcache.Extent{Start: 0, Count: 1})
	put(t, s, 2, "two", diskcache.Extent{Start: 1, Count: 1})
	s.Close()
	look := func() *diskstore.Report {
		r, err := diskstore.Inspect(fs, true)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	before := fs.Steps()
	if r := look(); !r.Intact() || r.Parts != 2 || r.PartsByClass["page"] != 2 || r.SlotsUsed != 2 || fs.Steps() != before {
		t.Fatalf("%+v", r)
	}
	fs.Content("data")[diskstore.MinSlotBytes+45] ^= 1
	if r := look(); r.Intact() || r.CorruptRecords != 1 {
		t.Fatalf("a flipped bit: %+v", r)
	}
	fs.Content("data")[diskstore.MinSlotBytes+45] ^= 1
	s, _ = open(t, fs)
	put(t, s, 3, "three", diskcache.Extent{Start: 1, Count: 1})
	if r := look(); r.Intact() || r.OverlappingRecords != 1 {
		t.Fatalf("a slot of two: %+v", r)
	}
	if _, err := diskstore.Inspect(crashfs.New(), true); !errors.Is(err, diskstore.ErrNotStore) {
		t.Fatal(err)
	}
}

// A folder of the operating system is held by one process at a time, and let go
// by one that was killed.
func TestLockOfAnotherProcess(t *testing.T) {
	if path := os.Getenv("QUILLDOOR_TEST_LOCK"); path != "" {
		if _, err := diskstore.Open(diskstore.Dir{Path: path}, super); err != nil {
			t.Fatal(err)
		}
		os.Stdout.WriteString("held\n")
		select {}
	}
	dir := t.TempDir()
	other := exec.Command(os.Args[0], "-test.run=^TestLockOfAnotherProcess$")
	other.Env = append(os.Environ(), "QUILLDOOR_TEST_LOCK="+dir)
	out, err := other.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	defer other.Wait()
	defer other.Process.Kill()
	if _, err := io.ReadFull(out, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	if _, err := diskstore.Open(diskstore.Dir{Path: dir}, super); !errors.Is(err, diskstore.ErrInUse) {
		t.Fatalf("held by another: %v", err)
	}
	if _, err := diskstore.Inspect(diskstore.Dir{Path: dir, ReadOnly: true}, true); err != nil {
		t.Fatalf("looked into while it is held: %v", err)
	}
	other.Process.Kill()
	other.Wait()
	s, _ := open(t, diskstore.Dir{Path: dir})
	put(t, s, 1, "x", diskcache.Extent{Start: 3, Count: 1})
	s.Close()
	if s, r := open(t, diskstore.Dir{Path: dir}); len(r.Entries) != 1 {
		t.Fatalf("%+v", r)
	} else {
		s.Close()
	}
}

// Whatever a record's bytes are, reading them ends without a panic, and says
// sound only of what was written.
func FuzzRecord(f *testing.F) {
	fs := crashfs.New()
	s, _ := open(f, fs)
	put(f, s, 1, "a body of some length", diskcache.Extent{Start: 0, Count: 1})
	whole := slices.Clone(fs.Content("data"))
	f.Add(whole, len(whole))
	f.Add(whole[:30], 30)
	f.Add(append(slices.Clone(whole[:41]), 0xff), 200)
	f.Fuzz(func(t *testing.T, data []byte, length int) {
		fs := crashfs.New()
		s, _ := open(t, fs)
		defer s.Close()
		if file, err := fs.Open("data", false); err == nil {
			if _, err := file.WriteAt(data, 0); err != nil {
				t.Fatal(err)
			}
		}
		rec, r, err := s.Read([]diskcache.Extent{{Start: 0, Count: 2}}, length)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r)
		if err == nil && r.Intact() && (len(body) != rec.BodyBytes || length != rec.Length()) {
			t.Fatalf("sound with %d bytes, told %d in %d", len(body), rec.BodyBytes, length)
		}
		if err == nil && r.Intact() && !bytes.HasPrefix(data, whole) && len(data) < length {
			t.Fatal("sound beyond its bytes")
		}
	})
}

// Whatever an index holds, it is read without a panic, and no entry is made up.
func FuzzIndex(f *testing.F) {
	fs := crashfs.New()
	s, _ := open(f, fs)
	put(f, s, 1, "x", diskcache.Extent{Start: 0, Count: 1})
	put(f, s, 2, "y", diskcache.Extent{Start: 2, Count: 1}, diskcache.Extent{Start: 4, Count: 1}, diskcache.Extent{Start: 6, Count: 1})
	if err := s.Commit(nil, []diskcache.Drop{{Key: 1, Seq: 1}}); err != nil {
		f.Fatal(err)
	}
	whole := slices.Clone(fs.Content("index-0000000000000000"))
	f.Add(whole)
	f.Add(whole[:100])
	f.Add(append(slices.Clone(whole[64:128]), whole...))
	f.Fuzz(func(t *testing.T, index []byte) {
		fs := crashfs.New()
		s, _ := open(t, fs)
		s.Close()
		if file, err := fs.Open("index-0000000000000000", false); err == nil {
			if _, err := file.WriteAt(index, 0); err != nil {
				t.Fatal(err)
			}
		}
		s, r := open(t, fs)
		defer s.Close()
		for _, e := range r.Entries {
			if e.Seq != 1 && e.Seq != 2 || r.Frames > len(index)/64 {
				t.Fatalf("made up: %+v", e)
			}
		}
	})
}
