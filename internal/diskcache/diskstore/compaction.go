package diskstore

import "fmt"

// NeedsCompaction reports whether the index is so long, for the given number of entries,
// that it should be rewritten.
func (s *Store) NeedsCompaction(entries int) bool {
	const (
		minFrames      = 1 << 12 // a shorter index takes little time to read at a start
		framesPerEntry = 3
	)
	return s.indexEnd/frameSize > max(minFrames, framesPerEntry*int64(entries))
}

// Compact replaces the index by a new one with the entries that forEachEntry passes to add.
// After a crash during Compact the next start finds either the old or the new index.
func (s *Store) Compact(forEachEntry func(add func(*Entry) error) error) error {
	number := s.indexNumber + 1
	name := fmt.Sprintf(indexName, number)
	file, err := s.fs.Open(name+newSuffix, true)
	if err != nil {
		return err
	}
	w := indexWriter{store: s, file: file, indexNumber: number, buffer: make([]byte, 0, framesPerBuffer*frameSize)}
	err = w.writeAll(forEachEntry)
	if err == nil {
		err = s.fs.Rename(name+newSuffix, name)
	}
	if err != nil {
		_ = file.Close()
		_ = s.fs.Remove(name + newSuffix) // the disk may be full because of it
		return err
	}
	return s.switchIndex(file, number, w.end)
}

// switchIndex makes a new index the current one and removes the old one. Its errors do not
// wrap ENOSPC: after a full disk the caller retries writes, but after a failed switch it is
// not certain which index the next start finds.
func (s *Store) switchIndex(file File, number uint64, end int64) error {
	old := fmt.Sprintf(indexName, s.indexNumber)
	_ = s.index.Close()
	s.index = file
	s.indexNumber = number
	s.indexEnd = end
	if err := s.fs.SyncDir(); err != nil {
		return fmt.Errorf("index %016x renamed, directory not synced: %v", number, err) //nolint:errorlint // must not wrap ENOSPC
	}
	if err := s.fs.Remove(old); err != nil {
		return fmt.Errorf("old index %s not removed: %v", old, err) //nolint:errorlint // must not wrap ENOSPC
	}
	return nil
}

// indexWriter writes a new index through a buffer.
type indexWriter struct {
	store       *Store
	file        File
	indexNumber uint64
	end         int64 // bytes written to the file
	buffer      []byte
}

func (w *indexWriter) writeAll(forEachEntry func(add func(*Entry) error) error) error {
	if err := w.file.Truncate(0); err != nil {
		return err
	}
	if err := forEachEntry(w.add); err != nil {
		return err
	}
	if err := w.flush(); err != nil {
		return err
	}
	return w.file.Sync()
}

func (w *indexWriter) add(entry *Entry) error {
	w.buffer = appendPut(w.buffer, w.indexNumber, entry)
	nextBytes := (len(entry.Extents) + 1) * frameSize // the next entry may be as long as this one
	if len(w.buffer)+nextBytes > cap(w.buffer) {
		return w.flush()
	}
	return nil
}

func (w *indexWriter) flush() error {
	err := w.store.writeAt(w.file, w.buffer, w.end)
	w.end += int64(len(w.buffer))
	w.buffer = w.buffer[:0]
	return err
}
