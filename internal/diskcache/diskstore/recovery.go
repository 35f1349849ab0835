package diskstore

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Recovery is the summary of reading the index at the start.
type Recovery struct {
	Frames    int    // whole frames of the index, bad ones included
	BadFrames int    // torn, with flipped bits or of another index
	MaxSeq    uint64 // highest Seq in a put or a drop
}

// Recover passes the puts and drops of the index to the sink, and makes the store ready to
// write.
func (s *Store) Recover(sink Sink) (recovery Recovery, err error) {
	names, err := s.fs.List()
	if err != nil {
		return recovery, err
	}
	if err := s.openFiles(names); err != nil {
		return recovery, err
	}
	if recovery, err = readIndex(s.index, s.indexNumber, sink); err != nil {
		return recovery, err
	}
	// An incomplete frame at the end was never synced; the next frame overwrites it.
	s.indexEnd = int64(recovery.Frames) * frameSize
	return recovery, s.removeLeftovers(names)
}

// openFiles opens the data file and the index with the highest number, or creates them.
func (s *Store) openFiles(names []string) (err error) {
	if s.data, err = s.fs.Open(dataName, true); err != nil {
		return err
	}
	numbers := sortedIndexNumbers(names)
	found := len(numbers) > 0
	if found {
		s.indexNumber = numbers[len(numbers)-1]
	}
	if s.index, err = s.fs.Open(fmt.Sprintf(indexName, s.indexNumber), !found); err != nil {
		return err
	}
	if !found || !slices.Contains(names, dataName) {
		return s.fs.SyncDir()
	}
	return nil
}

// removeLeftovers removes the files that a crash between two steps of Compact has left.
func (s *Store) removeLeftovers(names []string) error {
	for _, name := range names {
		number := parseIndexNumber(name)
		oldIndex := number != noIndexNumber && number != s.indexNumber
		if !strings.HasSuffix(name, newSuffix) && !oldIndex {
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// noIndexNumber stands for the number of a file that is not an index.
const noIndexNumber = ^uint64(0)

// parseIndexNumber returns the number in the name of an index, or noIndexNumber for other
// files.
func parseIndexNumber(name string) uint64 {
	const digits = 16
	text, isIndex := strings.CutPrefix(name, "index-")
	number, err := strconv.ParseUint(text, 16, 64)
	if isIndex && err == nil && len(text) == digits {
		return number
	}
	return noIndexNumber
}

func sortedIndexNumbers(names []string) (numbers []uint64) {
	for _, name := range names {
		if number := parseIndexNumber(name); number != noIndexNumber {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// framesPerBuffer is the number of frames that are read or written at once.
const framesPerBuffer = 1 << 12

// readIndex reads all whole frames of an index and passes their puts and drops to the sink.
func readIndex(file File, number uint64, sink Sink) (Recovery, error) {
	size, err := file.Size()
	if err != nil {
		return Recovery{}, err
	}
	replay := frameReplay{indexNumber: number, sink: sink}
	buffer := make([]byte, framesPerBuffer*frameSize)
	for at := int64(0); at+frameSize <= size; {
		wholeFrameBytes := (size - at) / frameSize * frameSize
		n, err := file.ReadAt(buffer[:min(int64(len(buffer)), wholeFrameBytes)], at)
		if err != nil && !errors.Is(err, io.EOF) {
			return Recovery{}, fmt.Errorf("read index %016x at byte %d: %w", number, at, err)
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
