package diskcache

import "math/bits"

// Extent is a row of slots that lie side by side.
type Extent struct{ Start, Count uint32 }

// slots says which slot of the disk belongs to what, as a file allocation table
// does: a record is a chain of slots. Four bytes and a bit a slot. Nothing is
// ever moved, so that a byte written is a byte of a newcomer.
type slots struct {
	next []uint32 // the next slot of a chain; none: its end
	used []uint64 // a bit a slot: belongs to a record, or waits for its drop to be synced
	free int
	hand uint32 // where the search goes on: neighbours in time lie side by side
}

const none = ^uint32(0)

func newSlots(n int) *slots {
	s := &slots{next: make([]uint32, n), used: make([]uint64, (n+63)/64), free: n}
	if n%64 != 0 { // what is past the end is never free
		s.used[n/64] = ^uint64(0) << (n % 64)
	}
	return s
}

// take makes a chain of n slots; false: there are not so many.
func (s *slots) take(n int) (first uint32, ok bool) {
	if n <= 0 || n > s.free {
		return none, false
	}
	first, last := none, none
	word := int(s.hand / 64)
	skip := s.hand % 64 // of the first word: what lies before the hand
	for n > 0 {
		w := s.used[word] | (1<<skip - 1)
		if w == ^uint64(0) {
			word, skip = (word+1)%len(s.used), 0
			continue
		}
		at := uint32(word*64 + bits.TrailingZeros64(^w))
		s.used[at/64] |= 1 << (at % 64)
		s.free--
		n--
		if last == none {
			first = at
		} else {
			s.next[last] = at
		}
		s.next[at], last, s.hand = none, at, at
	}
	return first, true
}

// claim takes the slots of runs that a recovered record lies in; false: one of
// them is taken or is not there, and nothing was claimed.
func (s *slots) claim(runs []Extent) (first uint32, ok bool) {
	if len(runs) == 0 {
		return none, false
	}
	for i, r := range runs {
		if r.Count == 0 || uint64(r.Start)+uint64(r.Count) > uint64(len(s.next)) {
			s.unclaim(runs[:i])
			return none, false
		}
		for at := r.Start; at < r.Start+r.Count; at++ {
			if s.used[at/64]>>(at%64)&1 == 1 {
				s.unclaim(append(runs[:i:i], Extent{r.Start, at - r.Start}))
				return none, false
			}
			s.used[at/64] |= 1 << (at % 64)
			s.free--
		}
	}
	last := none
	for _, r := range runs {
		for at := r.Start; at < r.Start+r.Count; at++ {
			if last != none {
				s.next[last] = at
			}
			s.next[at], last = none, at
		}
	}
	return runs[0].Start, true
}

func (s *slots) unclaim(runs []Extent) {
	for _, r := range runs {
		for at := r.Start; at < r.Start+r.Count; at++ {
			s.used[at/64] &^= 1 << (at % 64)
			s.free++
		}
	}
}

// give frees a chain.
func (s *slots) give(first uint32) {
	for at := first; at != none; at = s.next[at] {
		s.used[at/64] &^= 1 << (at % 64)
		s.free++
	}
}

// runs walks a chain.
func (s *slots) runs(first uint32) (out []Extent) {
	for at := first; at != none; at = s.next[at] {
		if n := len(out) - 1; n >= 0 && out[n].Start+out[n].Count == at {
			out[n].Count++
		} else {
			out = append(out, Extent{at, 1})
		}
	}
	return out
}
