package diskstore_test

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"testing"
	"time"

	"quilldoor/internal/crashfs"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskstore"
)

var superblock = diskstore.Superblock{SlotBytes: diskstore.MinSlotBytes, Seed: 5}

// recovered is the result of Store.Recover.
type recovered struct {
	diskstore.Recovery
	Entries []*diskstore.Entry
}

func open(t testing.TB, fs diskstore.FS) (*diskstore.Store, recovered) {
	t.Helper()
	s, err := diskstore.Open(fs, superblock)
	if err != nil {
		t.Fatal(err)
	}
	entries := diskstore.Entries{}
	recovery, err := s.Recover(entries)
	if err != nil {
		t.Fatal(err)
	}
	return s, recovered{recovery, slices.Collect(maps.Values(entries))}
}

// put writes a record with the given body into the given slots and commits it.
func put(t testing.TB, s *diskstore.Store, seq uint64, body string, extents ...diskcache.Extent) diskstore.Entry {
	t.Helper()
	record := diskstore.Record{Seq: seq, Issued: 77, Part: 3, Class: "page", Object: "ab", Tag: "tag", Group: 9, BodyBytes: len(body)}
	if err := s.Write(extents, &record, [][]byte{[]byte(body)[:len(body)/2], []byte(body)[len(body)/2:]}); err != nil {
		t.Fatal(err)
	}
	entry := diskstore.Entry{
		Key: seq, Object: 2, Issued: 77, Seq: seq, Length: record.Length(),
		ClassHash: diskstore.ClassHash("page"), Group: 9, Extents: extents,
	}
	if err := s.Commit([]diskstore.Entry{entry}, nil); err != nil {
		t.Fatal(err)
	}
	return entry
}

// A record whose slots are not adjacent is read back whole after a restart, and after a
// compaction of the index. Dropped records are not recovered.
func TestRecordsOfSeveralExtents(t *testing.T) {
	fs := crashfs.New()
	s, r := open(t, fs)
	body := string(bytes.Repeat([]byte("0123456789abcdef"), 1200))
	var extents []diskcache.Extent
	for i := range uint32(20) { // no two slots are adjacent: one put frame and four frames with further extents
		extents = append(extents, diskcache.Extent{Start: 2 * i, Count: 1})
	}
	want := put(t, s, 7, body, extents...)
	put(t, s, 8, "", diskcache.Extent{Start: 1, Count: 1})
	if err := s.Commit(nil, []diskcache.Drop{{Key: 8, Seq: 8}, {Key: 7, Seq: 6}}); err != nil {
		t.Fatal(err)
	}
	for range 2 { // with the index as it was written, and after its compaction
		s.Close()
		s, r = open(t, fs)
		if len(r.Entries) != 1 || r.BadFrames != 0 || !slices.Equal(r.Entries[0].Extents, extents) || r.Entries[0].Length != want.Length {
			t.Fatalf("recovered %+v", r)
		}
		record, reader, err := s.Read(r.Entries[0].Extents, r.Entries[0].Length)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(reader)
		if err != nil || string(got) != body || !reader.Intact() || record.Part != 3 || record.Tag != "tag" || record.Object != "ab" {
			t.Fatalf("record %+v, %d bytes of %d, intact %t: %v", record, len(got), len(body), reader.Intact(), err)
		}
		if err := s.Compact(func(add func(*diskstore.Entry) error) error { return add(r.Entries[0]) }); err != nil {
			t.Fatal(err)
		}
	}
	names, _ := fs.List()
	if !slices.Equal(names, []string{"data", "index-0000000000000002", "store"}) {
		t.Fatalf("files %q", names)
	}
	if err := s.Write(extents[:2], &diskstore.Record{BodyBytes: len(body)}, [][]byte{[]byte(body)}); !errors.Is(err, diskstore.ErrCorruptRecord) {
		t.Errorf("write of a record that is longer than its slots: %v", err)
	}
	if (&diskstore.Record{Tag: string(make([]byte, 256))}).Length() != 0 {
		t.Error("a tag of 256 bytes is accepted; its length does not fit into one byte")
	}
}

func TestInspectFindsCorruptAndOverlappingRecords(t *testing.T) {
	fs := crashfs.New()
	s, _ := open(t, fs)
	put(t, s, 1, "one", diskcache.Extent{Start: 0, Count: 1})
	put(t, s, 2, "two", diskcache.Extent{Start: 1, Count: 1})
	s.Close()
	inspect := func() *diskstore.Report {
		r, err := diskstore.Inspect(fs, true)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	before := fs.Steps()
	if r := inspect(); !r.Intact() || r.Parts != 2 || r.PartsByClass["page"] != 2 || r.SlotsUsed != 2 || fs.Steps() != before {
		t.Fatalf("intact store: %+v, %d changes of files", r, fs.Steps()-before)
	}
	fs.Content("data")[diskstore.MinSlotBytes+45] ^= 1
	if r := inspect(); r.Intact() || r.CorruptRecords != 1 {
		t.Fatalf("one flipped bit in a body: %+v", r)
	}
	fs.Content("data")[diskstore.MinSlotBytes+45] ^= 1
	s, _ = open(t, fs)
	put(t, s, 3, "three", diskcache.Extent{Start: 1, Count: 1})
	if r := inspect(); r.Intact() || r.OverlappingRecords != 1 {
		t.Fatalf("two records in one slot: %+v", r)
	}
	if _, err := diskstore.Inspect(crashfs.New(), true); !errors.Is(err, diskstore.ErrNotStore) {
		t.Fatalf("empty directory: %v", err)
	}
}

// One process at a time locks a directory of the operating system, and a killed process
// releases its lock. The test runs its own program again as the other process.
func TestLockOfAnotherProcess(t *testing.T) {
	if path := os.Getenv("QUILLDOOR_TEST_LOCK"); path != "" {
		store, err := diskstore.Open(diskstore.Dir{Path: path}, superblock)
		if err != nil {
			t.Fatal(err)
		}
		os.Stdout.WriteString("held\n")
		time.Sleep(time.Minute) // the test kills this process; without a timer the runtime would end it as a deadlock
		runtime.KeepAlive(store)
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
	if _, err := diskstore.Open(diskstore.Dir{Path: dir}, superblock); !errors.Is(err, diskstore.ErrInUse) {
		t.Fatalf("open while another process holds the lock: %v", err)
	}
	if _, err := diskstore.Inspect(diskstore.Dir{Path: dir, ReadOnly: true}, true); err != nil {
		t.Fatalf("inspect while another process holds the lock: %v", err)
	}
	other.Process.Kill()
	other.Wait()
	s, _ := open(t, diskstore.Dir{Path: dir})
	put(t, s, 1, "x", diskcache.Extent{Start: 3, Count: 1})
	s.Close()
	if s, r := open(t, diskstore.Dir{Path: dir}); len(r.Entries) != 1 {
		t.Fatalf("reopened: %+v", r)
	} else {
		s.Close()
	}
}

// Reading a record of arbitrary bytes must not panic, and Intact must be true only for the
// bytes of a record that was written.
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
		record, reader, err := s.Read([]diskcache.Extent{{Start: 0, Count: 2}}, length)
		if err != nil {
			return
		}
		body, err := io.ReadAll(reader)
		if err == nil && reader.Intact() && (len(body) != record.BodyBytes || length != record.Length()) {
			t.Fatalf("intact with a body of %d bytes; by the header %d, in a record of %d", len(body), record.BodyBytes, length)
		}
		if err == nil && reader.Intact() && !bytes.HasPrefix(data, whole) && len(data) < length {
			t.Fatalf("a record of %d bytes is intact although only %d bytes were written", length, len(data))
		}
	})
}

// Reading an index of arbitrary bytes must not panic, and must yield only entries that were
// written.
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
		for _, entry := range r.Entries {
			if entry.Seq != 1 && entry.Seq != 2 || r.Frames > len(index)/64 {
				t.Fatalf("entry that was never written, or too many frames (%d for %d bytes): %+v", r.Frames, len(index), entry)
			}
		}
	})
}
