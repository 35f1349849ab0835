package diskstore

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"quilldoor/internal/diskcache"
)

// Store is an open folder. One goroutine writes; any may read records.
type Store struct {
	fs         FS
	lock       io.Closer
	superblock Superblock
	data       File
	index      File
	number     uint64 // of the index
	indexEnd   int64  // bytes
	buffer     []byte // of the writing goroutine
}

// Open takes a folder, or makes the store in an empty one with the given superblock. A
// store of other slots than the superblock says is an error. Recover must follow.
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
		return fmt.Errorf("%w: its slots have %d bytes, the configuration says %d; empty the folder or set that back",
			ErrCorruptStore, s.superblock.SlotBytes, configured)
	}
	return nil
}

// create writes the superblock into an empty folder, whole or not at all.
func (s *Store) create(names []string) error {
	for _, name := range names {
		if name != lockName && !strings.HasSuffix(name, newSuffix) && name != dataName {
			return fmt.Errorf("%w: the folder holds %.60q", ErrNotStore, name)
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

// Seed of the hashes of names, as the superblock has it.
func (s *Store) Seed() uint64 { return s.superblock.Seed }

// Write writes a record into its slots. It is durable once Commit has named it.
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
		return fmt.Errorf("%w: %d bytes too long for its slots", ErrCorruptRecord, len(rest))
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

// Commit makes written records durable: first the data, then the index that names them.
// Drops are durable once it returns; their slots may be written again from then on, and
// not before. After an error neither is certain, and nothing more may be written.
func (s *Store) Commit(puts []Entry, drops []diskcache.Drop) error {
	if len(puts) > 0 {
		if err := s.data.Sync(); err != nil {
			return err
		}
	}
	frames := s.buffer[:0]
	for i := range puts {
		frames = appendPut(frames, s.number, &puts[i])
	}
	for _, drop := range drops {
		frames = appendDrop(frames, s.number, drop)
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

// releaseLargeBuffer gives back a buffer that one large batch has grown.
func (s *Store) releaseLargeBuffer() {
	const maxBufferBytes = 1 << 20
	if cap(s.buffer) > maxBufferBytes {
		s.buffer = nil
	}
}

// Close ends the use of the folder.
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

// Size is the bytes of the index and of the data file.
func (s *Store) Size() (index, data int64) {
	data, _ = s.data.Size()
	return s.indexEnd, data
}
