package diskstore

import "fmt"

// NeedsCompaction tells whether the index is long enough, for so many entries, to be worth
// writing anew.
func (s *Store) NeedsCompaction(entries int) bool {
	const (
		minFrames      = 1 << 12 // fewer are read at once at any start
		framesPerEntry = 3
	)
	return s.indexEnd/frameSize > max(minFrames, framesPerEntry*int64(entries))
}

// Compact writes the index anew from what each passes to add, entry by entry, and goes on
// with that. A crash within it leaves the one or the other.
func (s *Store) Compact(each func(add func(*Entry) error) error) error {
	number := s.number + 1
	name := fmt.Sprintf(indexName, number)
	file, err := s.fs.Open(name+newSuffix, true)
	if err != nil {
		return err
	}
	w := indexWriter{store: s, file: file, number: number, buffer: make([]byte, 0, framesPerBuffer*frameSize)}
	err = w.writeAll(each)
	if err == nil {
		err = s.fs.Rename(name+newSuffix, name)
	}
	if err != nil {
		_ = file.Close()
		_ = s.fs.Remove(name + newSuffix) // it may be what fills the disk
		return err
	}
	return s.switchIndex(file, number, w.end)
}

// switchIndex goes on with a new index. No error of it may pass for a full disk, on which
// writing is tried again: it is not certain which index the next start finds.
func (s *Store) switchIndex(file File, number uint64, end int64) error {
	old := fmt.Sprintf(indexName, s.number)
	_ = s.index.Close()
	s.index = file
	s.number = number
	s.indexEnd = end
	if err := s.fs.SyncDir(); err != nil {
		return fmt.Errorf("index renamed, not synced: %v", err) //nolint:errorlint // must not pass for ENOSPC
	}
	if err := s.fs.Remove(old); err != nil {
		return fmt.Errorf("old index: %v", err) //nolint:errorlint // must not pass for ENOSPC
	}
	return nil
}

// indexWriter writes a new index through a buffer.
type indexWriter struct {
	store  *Store
	file   File
	number uint64
	end    int64 // bytes in the file
	buffer []byte
}

func (w *indexWriter) writeAll(each func(add func(*Entry) error) error) error {
	if err := w.file.Truncate(0); err != nil {
		return err
	}
	if err := each(w.add); err != nil {
		return err
	}
	if err := w.flush(); err != nil {
		return err
	}
	return w.file.Sync()
}

func (w *indexWriter) add(entry *Entry) error {
	w.buffer = appendPut(w.buffer, w.number, entry)
	next := (len(entry.Extents) + 1) * frameSize // the next entry may be as long
	if len(w.buffer)+next > cap(w.buffer) {
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
