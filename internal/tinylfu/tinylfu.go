// Package tinylfu is the frequency sketch of "TinyLFU: A Highly Efficient Cache
// Admission Policy" (Einziger, Friedman and Manes; sections 3.2 to 3.4). A count-min
// table of four rows of 4-bit counters estimates how often an object was requested
// of late. A doorkeeper, a Bloom filter, takes an object's first appearance, so that
// objects requested once occupy no counter. Halving ages all of it.
//
// A Sketch decides nothing by itself: its owner counts samples, halves the sketch
// when its sample period is over, and compares estimates. It is not safe for
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

	// halvingMask drops the bit that a shift moves in from the neighbouring counter.
	halvingMask = 0x7777777777777777
)

// MaxCounter is the largest value of a 4-bit counter.
const MaxCounter = counterMask

// Config sizes a sketch.
type Config struct {
	// Counters is the number of counters in each row, a power of two, 16 at least.
	// Each costs two bytes over the four rows, and its part of the doorkeeper.
	Counters int
	// MaxCount is where a counter stops, MaxCounter at most.
	MaxCount uint64
	// DoorkeeperBits is the number of the doorkeeper's bits for each counter, a power
	// of two, 4 at least. More bits let fewer unseen objects pass.
	DoorkeeperBits int
	// DoorkeeperCapacity is how many objects the doorkeeper takes before it is cleared
	// on its own; 0: it is cleared by Halve only. A sample period with many more
	// objects than bits would fill the filter, and all objects would pass it.
	DoorkeeperCapacity int
}

// Sketch estimates request frequencies. Keys are hashes of 64 well mixed bits.
type Sketch struct {
	rows               [rowCount][]uint64 // counters, countersPerWord to a word
	doorkeeper         []uint64
	counterIndexMask   uint64
	bitIndexMask       uint64
	maxCount           uint64
	doorkeeperCapacity int
	doorkeeperEntries  int // objects taken since the doorkeeper was cleared
	samples            int
}

// New makes an empty sketch.
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

// Counters is the number of counters in each row.
func (s *Sketch) Counters() int { return int(s.counterIndexMask + 1) }

// Samples is the number of samples counted, halved with the counters.
func (s *Sketch) Samples() int { return s.samples }

// AddSample counts one sample towards the sample period and returns their number.
func (s *Sketch) AddSample() int {
	s.samples++
	return s.samples
}

// Record notes one request. An object's first one goes to the doorkeeper; of later
// ones only the minimal counters rise (conservative update).
func (s *Sketch) Record(key uint64) {
	if !s.passDoorkeeper(key) {
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

// Estimate is how often an object was requested of late.
func (s *Sketch) Estimate(key uint64) uint64 {
	if s.inDoorkeeper(key) {
		return s.minimum(key) + 1
	}
	return s.minimum(key)
}

// Halve ages the sketch (the paper's reset): it halves all counters and the number of
// samples, rounding down, and clears the doorkeeper.
func (s *Sketch) Halve() {
	s.samples /= 2
	for _, row := range s.rows {
		for i, word := range row {
			row[i] = word >> 1 & halvingMask
		}
	}
	s.clearDoorkeeper()
}

// probe is the i-th of a key's hash functions: two halves of the key, combined by
// Kirsch and Mitzenmacher's double hashing.
func probe(key uint64, i int) uint64 {
	const oddMultiplier = 0x9e3779b97f4a7c15
	return (key + uint64(i)*(key>>32|1)) * oddMultiplier >> 20
}

func (s *Sketch) counter(row int, key uint64) (word *uint64, shift uint64) {
	index := probe(key, row) & s.counterIndexMask
	return &s.rows[row][index/countersPerWord], index % countersPerWord * counterBits
}

func (s *Sketch) minimum(key uint64) uint64 {
	lowest := s.maxCount
	for row := range s.rows {
		word, shift := s.counter(row, key)
		lowest = min(lowest, *word>>shift&counterMask)
	}
	return lowest
}

func (s *Sketch) doorkeeperBit(key uint64, i int) (word *uint64, bit uint64) {
	index := probe(key, rowCount+i) & s.bitIndexMask
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

// passDoorkeeper enters an object into the doorkeeper and tells whether it was there.
func (s *Sketch) passDoorkeeper(key uint64) bool {
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

// State is a copy of a sketch's content, for a sketch of the same size.
type State struct {
	Rows       [rowCount][]uint64
	Doorkeeper []uint64
	Samples    int
}

// ErrShape says that a state comes from a sketch of another size.
var ErrShape = errors.New("tinylfu: state of a sketch of another size")

// State copies the sketch's content.
func (s *Sketch) State() State {
	state := State{Doorkeeper: slices.Clone(s.doorkeeper), Samples: s.samples}
	for i, row := range s.rows {
		state.Rows[i] = slices.Clone(row)
	}
	return state
}

// Fits tells whether Restore takes the state.
func (s *Sketch) Fits(state State) bool {
	for i, row := range s.rows {
		if len(state.Rows[i]) != len(row) {
			return false
		}
	}
	return len(state.Doorkeeper) == len(s.doorkeeper)
}

// Restore replaces the sketch's content. It returns ErrShape, and changes nothing,
// where the state comes from a sketch of another size.
func (s *Sketch) Restore(state State) error {
	if !s.Fits(state) {
		return ErrShape
	}
	for i, row := range s.rows {
		copy(row, state.Rows[i])
	}
	copy(s.doorkeeper, state.Doorkeeper)
	s.samples = max(state.Samples, 0)
	return nil
}
