// Package tinylfu implements the frequency sketch of "TinyLFU: A Highly Efficient
// Cache Admission Policy" (Einziger, Friedman and Manes; sections 3.2 to 3.4). A
// count-min table of four rows of 4-bit counters estimates how often an object was
// requested recently. A doorkeeper, which is a Bloom filter, records an object's first
// request, so that objects requested only once occupy no counter. Halving ages the
// counters and clears the doorkeeper.
//
// A Sketch makes no admission decisions: its owner counts samples, halves the sketch
// at the end of each sample period, and compares estimates. A Sketch is not safe for
// concurrent use.
package tinylfu

import (
	"errors"
	"slices"
)

const (
	rowCount        = 4
	counterBits     = 4
	counterMask     = 1<<counterBits - 1
	countersPerWord = 64 / counterBits
	wordBits        = 64

	// halvingMask clears the bit that a shift moves in from the neighbouring counter.
	halvingMask = 0x7777777777777777
)

// MaxCounter is the largest value of a 4-bit counter.
const MaxCounter = counterMask

// Config holds the sizes of a sketch.
type Config struct {
	// Counters is the number of counters in each row, a power of two and at least 16.
	// Each takes two bytes over the four rows, and DoorkeeperBits of the doorkeeper.
	Counters int
	// MaxCount is the value at which a counter stops, at most MaxCounter.
	MaxCount uint64
	// DoorkeeperBits is the number of doorkeeper bits for each counter, a power of two
	// and at least 4. More bits let fewer objects pass at their first request.
	DoorkeeperBits int
	// DoorkeeperCapacity is the number of objects after which the doorkeeper is cleared;
	// 0: only Halve clears it. Without a capacity, a sample period with many more objects
	// than bits would fill the filter, and every object would pass it.
	DoorkeeperCapacity int
}

// Sketch estimates request frequencies. Keys are 64-bit hashes with well mixed bits.
type Sketch struct {
	rows               [rowCount][]uint64 // countersPerWord counters in each word
	doorkeeper         []uint64
	counterIndexMask   uint64
	bitIndexMask       uint64
	maxCount           uint64
	doorkeeperCapacity int
	doorkeeperEntries  int // objects added since the doorkeeper was cleared
	samples            int
}

// New returns an empty sketch.
func New(config Config) *Sketch {
	s := &Sketch{
		doorkeeper:         make([]uint64, config.Counters*config.DoorkeeperBits/wordBits),
		counterIndexMask:   uint64(config.Counters - 1),
		bitIndexMask:       uint64(config.Counters*config.DoorkeeperBits - 1),
		maxCount:           config.MaxCount,
		doorkeeperCapacity: config.DoorkeeperCapacity,
	}
	for i := range s.rows {
		s.rows[i] = make([]uint64, config.Counters/countersPerWord)
	}
	return s
}

// Counters returns the number of counters in each row.
func (s *Sketch) Counters() int { return int(s.counterIndexMask + 1) }

// Samples returns the number of samples counted; Halve halves it like the counters.
func (s *Sketch) Samples() int { return s.samples }

// AddSample counts one sample of the sample period and returns the number of samples.
func (s *Sketch) AddSample() int {
	s.samples++
	return s.samples
}

// Record counts one request. An object's first request only adds it to the doorkeeper.
// A later one increments those of its counters that have the lowest value
// (conservative update).
func (s *Sketch) Record(key uint64) {
	if !s.addToDoorkeeper(key) {
		s.countDoorkeeperEntry()
		return
	}
	lowest := s.minimum(key)
	if lowest >= s.maxCount {
		return
	}
	for row := range s.rows {
		word, shift := s.counter(row, key)
		if *word>>shift&counterMask == lowest {
			*word += 1 << shift
		}
	}
}

// Estimate returns about how often an object was requested recently.
func (s *Sketch) Estimate(key uint64) uint64 {
	if s.inDoorkeeper(key) {
		return s.minimum(key) + 1
	}
	return s.minimum(key)
}

// Halve ages the sketch; the paper calls this the reset. It halves all counters and the
// number of samples, rounding down, and clears the doorkeeper.
func (s *Sketch) Halve() {
	s.samples /= 2
	for _, row := range s.rows {
		for i, word := range row {
			row[i] = word >> 1 & halvingMask
		}
	}
	s.clearDoorkeeper()
}

// hash returns the i-th hash of a key. It combines the two halves of the key by
// Kirsch and Mitzenmacher's double hashing.
func hash(key uint64, i int) uint64 {
	const oddMultiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	return (key + uint64(i)*(key>>32|1)) * oddMultiplier >> 20
}

// counter returns the word that holds a key's counter in a row, and the counter's
// position in the word.
func (s *Sketch) counter(row int, key uint64) (word *uint64, shift uint64) {
	index := hash(key, row) & s.counterIndexMask
	return &s.rows[row][index/countersPerWord], index % countersPerWord * counterBits
}

// minimum returns the lowest of a key's counters.
func (s *Sketch) minimum(key uint64) uint64 {
	lowest := s.maxCount
	for row := range s.rows {
		word, shift := s.counter(row, key)
		lowest = min(lowest, *word>>shift&counterMask)
	}
	return lowest
}

// doorkeeperBit returns the word that holds the i-th of a key's doorkeeper bits, and
// the bit in the word.
func (s *Sketch) doorkeeperBit(key uint64, i int) (word *uint64, bit uint64) {
	index := hash(key, rowCount+i) & s.bitIndexMask
	return &s.doorkeeper[index/wordBits], 1 << (index % wordBits)
}

func (s *Sketch) inDoorkeeper(key uint64) bool {
	for i := range rowCount {
		if word, bit := s.doorkeeperBit(key, i); *word&bit == 0 {
			return false
		}
	}
	return true
}

// addToDoorkeeper adds an object to the doorkeeper and reports whether the doorkeeper
// already contained it.
func (s *Sketch) addToDoorkeeper(key uint64) bool {
	seen := true
	for i := range rowCount {
		word, bit := s.doorkeeperBit(key, i)
		seen = seen && *word&bit != 0
		*word |= bit
	}
	return seen
}

func (s *Sketch) countDoorkeeperEntry() {
	s.doorkeeperEntries++
	if s.doorkeeperCapacity > 0 && s.doorkeeperEntries >= s.doorkeeperCapacity {
		s.clearDoorkeeper()
	}
}

func (s *Sketch) clearDoorkeeper() {
	clear(s.doorkeeper)
	s.doorkeeperEntries = 0
}

// State is a copy of a sketch's content, to restore into a sketch of the same size.
type State struct {
	Rows       [rowCount][]uint64
	Doorkeeper []uint64
	Samples    int
}

// ErrSizeMismatch reports that a state comes from a sketch of another size.
var ErrSizeMismatch = errors.New("tinylfu: the state comes from a sketch of another size")

// State returns a copy of the sketch's content.
func (s *Sketch) State() State {
	state := State{Doorkeeper: slices.Clone(s.doorkeeper), Samples: s.samples}
	for i, row := range s.rows {
		state.Rows[i] = slices.Clone(row)
	}
	return state
}

// Fits reports whether Restore accepts the state.
func (s *Sketch) Fits(state State) bool {
	for i, row := range s.rows {
		if len(state.Rows[i]) != len(row) {
			return false
		}
	}
	return len(state.Doorkeeper) == len(s.doorkeeper)
}

// Restore replaces the sketch's content. If the state comes from a sketch of another
// size, Restore returns ErrSizeMismatch and changes nothing.
func (s *Sketch) Restore(state State) error {
	if !s.Fits(state) {
		return ErrSizeMismatch
	}
	for i, row := range s.rows {
		copy(row, state.Rows[i])
	}
	copy(s.doorkeeper, state.Doorkeeper)
	s.samples = max(state.Samples, 0)
	return nil
}
