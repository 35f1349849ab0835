package diskstore

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"quilldoor/internal/diskcache"
)

// Store is an open store in a directory. One goroutine writes; any goroutine may read
// records.
type Store struct {
	fs          FS
	lock        io.Closer
	superblock  Superblock
	data        File
	index       File
	indexNumber uint64
	indexEnd    int64  // bytes of the index in use; the next frame is written there
	buffer      []byte // of the writing goroutine
}

// Open locks a directory and opens its store; in an empty directory it creates the store
// with the given superblock. It is an error if the store's slots have another size than
// the given one. Recover must be called next.
func Open(fsys FS, superblock Superblock) (*Store, error) {
	lock, err := fsys.Lock(lockName)
	if err != nil {
		return nil, err
	}
	s := &Store{fs: fsys, lock: lock, superblock: superblock}
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
	configured := s.superblock.SlotBytes
	if s.superblock, err = readSuperblock(s.fs); err != nil {
		return err
	}
	if s.superblock.SlotBytes != configured {
		return fmt.Errorf("%w: its slots have %d bytes, %d are configured; empty the directory or restore the configuration",
			ErrCorruptStore, s.superblock.SlotBytes, configured)
	}
	return nil
}

// create writes the superblock into an empty directory; a crash leaves the whole superblock
// or none. Temporary files and a data file without a superblock count as empty.
func (s *Store) create(names []string) error {
	for _, name := range names {
		if name != lockName && !strings.HasSuffix(name, newSuffix) && name != dataName {
			return fmt.Errorf("%w: the directory contains %.60q", ErrNotStore, name)
		}
	}
	f, err := s.fs.Open(storeName+newSuffix, true)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.WriteAt(s.superblock.encode(), 0); err != nil {
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

// Seed returns the seed of the hashes of names, from the superblock.
func (s *Store) Seed() uint64 { return s.superblock.Seed }

// Write writes a record into its slots. The record is durable once Commit has returned for
// its entry.
func (s *Store) Write(extents []diskcache.Extent, record *Record, body [][]byte) error {
	rest := appendHeader(s.buffer[:0], record, body)
	for _, piece := range body {
		rest = append(rest, piece...)
	}
	s.buffer = rest
	slotBytes := s.superblock.SlotBytes
	for _, extent := range extents {
		n := min(len(rest), int(extent.Count)*slotBytes)
		if n == 0 {
			break
		}
		if err := s.writeAt(s.data, rest[:n], int64(extent.Start)*int64(slotBytes)); err != nil {
			return err
		}
		rest = rest[n:]
	}
	if len(rest) > 0 {
		return fmt.Errorf("%w: seq %d is %d bytes too long for its slots", ErrCorruptRecord, record.Seq, len(rest))
	}
	return nil
}

func (s *Store) writeAt(file File, b []byte, at int64) error {
	n, err := file.WriteAt(b, at)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

// Commit makes written records durable: it syncs the data first, and then the index with
// their entries. Drops are durable once it returns, and only then may their slots be
// written again. After an error neither puts nor drops are certain to be durable, and
// nothing more may be written.
func (s *Store) Commit(puts []Entry, drops []diskcache.Drop) error {
	if len(puts) > 0 {
		if err := s.data.Sync(); err != nil {
			return err
		}
	}
	frames := s.buffer[:0]
	for i := range puts {
		frames = appendPut(frames, s.indexNumber, &puts[i])
	}
	for _, drop := range drops {
		frames = appendDrop(frames, s.indexNumber, drop)
	}
	s.buffer = frames
	if len(frames) == 0 {
		return nil
	}
	if err := s.writeAt(s.index, frames, s.indexEnd); err != nil {
		return err
	}
	s.indexEnd += int64(len(frames))
	s.releaseLargeBuffer()
	return s.index.Sync()
}

// releaseLargeBuffer releases a buffer that has grown for one large batch.
func (s *Store) releaseLargeBuffer() {
	const maxBufferBytes = 1 << 20
	if cap(s.buffer) > maxBufferBytes {
		s.buffer = nil
	}
}

// Close closes the files and unlocks the directory. It does not sync.
func (s *Store) Close() {
	for _, file := range []File{s.data, s.index} {
		if file != nil {
			file.Close()
		}
	}
	if s.lock != nil {
		s.lock.Close()
	}
}

// Size returns the sizes of the index and of the data file in bytes.
func (s *Store) Size() (index, data int64) {
	data, _ = s.data.Size()
	return s.indexEnd, data
}
