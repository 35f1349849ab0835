package diskstore

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Recovery is what was found at the start.
type Recovery struct {
	Frames    int    // of the index
	BadFrames int    // cut, flipped or of another index
	MaxSeq    uint64 // the highest record number seen
}

// Recover tells the sink what the index says, and makes the store ready to write.
func (s *Store) Recover(sink Sink) (recovery Recovery, err error) {
	names, err := s.fs.List()
	if err != nil {
		return recovery, err
	}
	if err := s.openFiles(names); err != nil {
		return recovery, err
	}
	if recovery, err = readIndex(s.index, s.number, sink); err != nil {
		return recovery, err
	}
	// What is not a whole frame was never synced; the next one takes its place.
	s.indexEnd = int64(recovery.Frames) * frameSize
	return recovery, s.removeLeftovers(names)
}

// openFiles opens the data and the index with the highest number, or makes them.
func (s *Store) openFiles(names []string) (err error) {
	if s.data, err = s.fs.Open(dataName, true); err != nil {
		return err
	}
	numbers := indexNumbers(names)
	found := len(numbers) > 0
	if found {
		s.number = numbers[len(numbers)-1]
	}
	if s.index, err = s.fs.Open(fmt.Sprintf(indexName, s.number), !found); err != nil {
		return err
	}
	if !found || !slices.Contains(names, dataName) {
		return s.fs.SyncDir()
	}
	return nil
}

// removeLeftovers removes what a crash between two steps of Compact has left.
func (s *Store) removeLeftovers(names []string) error {
	for _, name := range names {
		number := indexNumber(name)
		oldIndex := number != noNumber && number != s.number
		if !strings.HasSuffix(name, newSuffix) && !oldIndex {
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

const noNumber = ^uint64(0)

// indexNumber of a file's name; noNumber: it is no index.
func indexNumber(name string) uint64 {
	const digits = 16
	text, isIndex := strings.CutPrefix(name, "index-")
	number, err := strconv.ParseUint(text, 16, 64)
	if isIndex && err == nil && len(text) == digits {
		return number
	}
	return noNumber
}

func indexNumbers(names []string) (numbers []uint64) {
	for _, name := range names {
		if number := indexNumber(name); number != noNumber {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

const framesPerBuffer = 1 << 12

// readIndex reads all whole frames.
func readIndex(file File, number uint64, sink Sink) (Recovery, error) {
	size, err := file.Size()
	if err != nil {
		return Recovery{}, err
	}
	replay := frameReplay{number: number, sink: sink}
	buffer := make([]byte, framesPerBuffer*frameSize)
	for at := int64(0); at+frameSize <= size; {
		whole := (size - at) / frameSize * frameSize
		n, err := file.ReadAt(buffer[:min(int64(len(buffer)), whole)], at)
		if err != nil && !errors.Is(err, io.EOF) {
			return Recovery{}, fmt.Errorf("index: %w", err)
		}
		n = n / frameSize * frameSize
		if n == 0 {
			break
		}
		for i := 0; i < n; i += frameSize {
			replay.handle(buffer[i : i+frameSize])
		}
		at += int64(n)
	}
	return Recovery{Frames: replay.frames, BadFrames: replay.badFrames, MaxSeq: replay.maxSeq}, nil
}
