package diskstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"quilldoor/internal/diskcache"
)

// Store is an open folder. One goroutine writes; any may read records.
type Store struct {
	fs     FS
	lock   io.Closer
	super  Superblock
	slots  int
	data   File
	index  File
	number uint64 // of the index
	end    int64  // of the index
	buf    []byte
}

// Recovery is what was found at the start.
type Recovery struct {
	Frames    int    // of the index
	BadFrames int    // cut, flipped or of another index
	MaxSeq    uint64 // highest record number seen
}

// Open takes a folder for a disk of so many slots, or makes the store in an
// empty one with super. What stands in the folder counts: slots of another size
// are an error that says so. Recover must follow.
func Open(fsys FS, super Superblock, slots int) (*Store, error) {
	lock, err := fsys.Lock(lockName)
	if err != nil {
		return nil, err
	}
	s := &Store{fs: fsys, lock: lock, super: super, slots: slots}
	if err := s.open(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) open() error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	if !slices.Contains(names, storeName) {
		if err := s.create(names); err != nil {
			return err
		}
	}
	told := s.super.SlotBytes
	if s.super, err = readSuper(s.fs); err != nil {
		return err
	}
	if s.super.SlotBytes != told {
		return fmt.Errorf("%w: its slots have %d bytes, the configuration says %d; empty the folder or set that back",
			ErrCorruptStore, s.super.SlotBytes, told)
	}
	return nil
}

// Recover tells the sink what the index says, and makes the store ready to write.
func (s *Store) Recover(sink Sink) (rec Recovery, err error) {
	names, err := s.fs.List()
	if err != nil {
		return rec, err
	}
	if s.data, err = s.fs.Open(dataName, true); err != nil {
		return rec, err
	}
	numbers := indexes(names)
	found := len(numbers) > 0
	if found {
		s.number = numbers[len(numbers)-1]
	}
	if s.index, err = s.fs.Open(fmt.Sprintf(indexName, s.number), !found); err != nil {
		return rec, err
	}
	if !found || !slices.Contains(names, dataName) {
		if err := s.fs.SyncDir(); err != nil {
			return rec, err
		}
	}
	if rec, err = readIndex(s.index, s.number, sink); err != nil {
		return rec, err
	}
	// What is not a whole frame was never synced; the next one takes its place.
	s.end = int64(rec.Frames) * frameSize
	for _, n := range names { // left by a crash between two steps of Compact
		if strings.HasSuffix(n, newSuffix) || slices.Contains(numbers, indexNumber(n)) && indexNumber(n) != s.number {
			if err := s.fs.Remove(n); err != nil {
				return rec, err
			}
		}
	}
	return rec, nil
}

// create makes the head of an empty folder. It comes whole or not at all.
func (s *Store) create(names []string) error {
	for _, n := range names {
		if n != lockName && !strings.HasSuffix(n, newSuffix) && n != dataName {
			return fmt.Errorf("%w: the folder holds %.60q", ErrNotStore, n)
		}
	}
	f, err := s.fs.Open(storeName+newSuffix, true)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.WriteAt(s.super.encode(), 0); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := s.fs.Rename(storeName+newSuffix, storeName); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

func readSuper(fsys FS) (Superblock, error) {
	f, err := fsys.Open(storeName, false)
	if errors.Is(err, fs.ErrNotExist) {
		return Superblock{}, fmt.Errorf("%w: no file %s", ErrNotStore, storeName)
	}
	if err != nil {
		return Superblock{}, err
	}
	defer f.Close()
	b := make([]byte, frameSize)
	n, err := f.ReadAt(b, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return Superblock{}, err
	}
	return decodeSuper(b[:n])
}

const noIndex = ^uint64(0)

func indexNumber(name string) uint64 {
	text, ok := strings.CutPrefix(name, "index-")
	if n, err := strconv.ParseUint(text, 16, 64); ok && err == nil && len(text) == 16 {
		return n
	}
	return noIndex
}

func indexes(names []string) (numbers []uint64) {
	for _, n := range names {
		if i := indexNumber(n); i != noIndex {
			numbers = append(numbers, i)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// readIndex reads all whole frames.
func readIndex(f File, number uint64, sink Sink) (out Recovery, err error) {
	size, err := f.Size()
	if err != nil {
		return out, err
	}
	r := replay{number: number, sink: sink}
	b := make([]byte, 1<<12*frameSize)
	for at := int64(0); at+frameSize <= size; {
		n, err := f.ReadAt(b[:min(int64(len(b)), (size-at)/frameSize*frameSize)], at)
		if err != nil && !errors.Is(err, io.EOF) {
			return out, fmt.Errorf("index: %w", err)
		}
		n = n / frameSize * frameSize
		if n == 0 {
			break
		}
		for i := 0; i < n; i += frameSize {
			r.frame(b[i : i+frameSize])
		}
		at += int64(n)
	}
	return Recovery{Frames: r.frames, BadFrames: r.bad, MaxSeq: r.top}, nil
}

// Seed is that of the names' hashes, as the folder has it.
func (s *Store) Seed() uint64 { return s.super.Seed }

// Write puts a record into its slots. It is not on the disk before Sync.
func (s *Store) Write(runs []diskcache.Extent, r *Record, body [][]byte) error {
	// One buffer of the record's size at the most: a write a run.
	b := appendHead(s.buf[:0], r, body)
	for _, piece := range body {
		b = append(b, piece...)
	}
	s.buf = b
	slot := s.super.SlotBytes
	for _, run := range runs {
		n := min(len(b), int(run.Count)*slot)
		if n == 0 {
			break
		}
		if err := s.writeAt(s.data, b[:n], int64(run.Start)*int64(slot)); err != nil {
			return err
		}
		b = b[n:]
	}
	if len(b) > 0 {
		return fmt.Errorf("%w: %d bytes too long for its slots", ErrCorruptRecord, len(b))
	}
	return nil
}

func (s *Store) writeAt(f File, b []byte, at int64) error {
	n, err := f.WriteAt(b, at)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

// Commit makes records that were written last: first the data, then the index
// that names them. Drops are last once it returns; their slots may be written
// again from then on, and not before. After an error neither is certain, and
// nothing more may be written.
func (s *Store) Commit(puts []Entry, drops []diskcache.Drop) error {
	if len(puts) > 0 {
		if err := s.data.Sync(); err != nil {
			return err
		}
	}
	b := s.buf[:0]
	for i := range puts {
		b = appendPut(b, s.number, &puts[i])
	}
	for _, d := range drops {
		b = appendDrop(b, s.number, d)
	}
	s.buf = b
	if len(b) == 0 {
		return nil
	}
	if err := s.writeAt(s.index, b, s.end); err != nil {
		return err
	}
	s.end += int64(len(b))
	s.trim()
	return s.index.Sync()
}

// trim gives back a buffer that one large batch has blown up.
func (s *Store) trim() {
	const most = 1 << 20
	if cap(s.buf) > most {
		s.buf = nil
	}
}

// NeedsCompaction tells whether the index is due to be written anew for so many entries
// and is worth it.
func (s *Store) NeedsCompaction(entries int) bool {
	const least = 1 << 12 // frames; fewer are read at once at any start
	return s.end/frameSize > max(least, 3*int64(entries))
}

// Compact writes the index anew from what each tells, entry by entry, and goes
// on with that. A crash within it leaves the one or the other.
func (s *Store) Compact(each func(tell func(*Entry) error) error) error {
	number := s.number + 1
	name := fmt.Sprintf(indexName, number)
	f, err := s.fs.Open(name+newSuffix, true)
	if err != nil {
		return err
	}
	var at int64
	b := make([]byte, 0, 1<<12*frameSize)
	flush := func() error {
		err := s.writeAt(f, b, at)
		at += int64(len(b))
		b = b[:0]
		return err
	}
	err = f.Truncate(0)
	if err == nil {
		err = each(func(e *Entry) error {
			if b = appendPut(b, number, e); len(b)+(len(e.Extents)+1)*frameSize > cap(b) {
				return flush()
			}
			return nil
		})
	}
	if err == nil {
		err = flush()
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.Rename(name+newSuffix, name)
	}
	if err != nil {
		f.Close()
		_ = s.fs.Remove(name + newSuffix) // it may be what fills the disk
		return err
	}
	old := fmt.Sprintf(indexName, s.number)
	s.index.Close()
	s.index, s.number, s.end = f, number, at
	// From here on no error passes for a full disk, which is tried again: it is
	// not certain which index the next start finds.
	if err := s.fs.SyncDir(); err != nil {
		return fmt.Errorf("index renamed, not synced: %v", err) //nolint:errorlint // must not pass for ENOSPC
	}
	if err := s.fs.Remove(old); err != nil {
		return fmt.Errorf("old index: %v", err) //nolint:errorlint // must not pass for ENOSPC
	}
	return nil
}

// Reader reads a record from its slots.
type Reader struct {
	data File
	slot int64
	runs []diskcache.Extent
	at   int64 // in the first run
	left int   // bytes of the record
	sum  uint32
	want uint32
	err  error // of the disk, not of what it holds
}

// Read starts reading a record: its head, then the body comes from the Reader.
// Only once all of the body was read does Sound tell whether it is whole.
func (s *Store) Read(runs []diskcache.Extent, length int) (Record, *Reader, error) {
	return read(s.data, s.super.SlotBytes, runs, length)
}

func read(data File, slot int, runs []diskcache.Extent, length int) (Record, *Reader, error) {
	r := &Reader{data: data, slot: int64(slot), runs: runs, left: max(length, 0)}
	var buf [headSize + 3*MaxNameLength]byte
	h := buf[:headSize]
	if _, err := io.ReadFull(r, h); err != nil {
		return Record{}, r, err
	}
	rec, n, err := decodeHead(h)
	if err != nil {
		return rec, r, err
	}
	if headSize+n+rec.BodyBytes != length {
		return rec, r, fmt.Errorf("%w: %d bytes where %d are told", ErrCorruptRecord, headSize+n+rec.BodyBytes, length)
	}
	names := buf[headSize : headSize+n]
	if _, err := io.ReadFull(r, names); err != nil {
		return rec, r, err
	}
	o, t := int(h[32]), int(h[32])+int(h[33])
	rec.Class, rec.Object, rec.Tag = string(names[:o]), string(names[o:t]), string(names[t:])
	r.want = binary.LittleEndian.Uint32(h)
	r.sum = crc32.Update(crc32.Checksum(h[4:], table), table, names)
	return rec, r, nil
}

// Read gives the body's next bytes.
func (r *Reader) Read(b []byte) (int, error) {
	if r.left == 0 || len(r.runs) == 0 {
		return 0, io.EOF
	}
	run := r.runs[0]
	n := min(int64(len(b)), int64(r.left), int64(run.Count)*r.slot-r.at)
	got, err := r.data.ReadAt(b[:n], int64(run.Start)*r.slot+r.at)
	if int64(got) < n {
		if errors.Is(err, io.EOF) { // the file was cut
			err = io.ErrUnexpectedEOF
		} else {
			r.err = err
		}
		return got, err
	}
	r.sum = crc32.Update(r.sum, table, b[:n])
	r.left -= int(n)
	if r.at += n; r.at == int64(run.Count)*r.slot {
		r.runs, r.at = r.runs[1:], 0
	}
	return int(n), nil
}

// Intact tells whether the record was read to its end and is what was written.
func (r *Reader) Intact() bool { return r.left == 0 && r.sum == r.want }

// Close ends the use of the folder.
func (s *Store) Close() {
	for _, f := range []File{s.data, s.index} {
		if f != nil {
			f.Close()
		}
	}
	if s.lock != nil {
		s.lock.Close()
	}
}

// Size is the bytes of the index and of the data's file.
func (s *Store) Size() (index, data int64) {
	data, _ = s.data.Size()
	return s.end, data
}
