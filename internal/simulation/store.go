package simulation

// store is what a cache or a parent keeps: by rank, and within it by recency.
// What was ranked lowest goes first, then what was used longest ago; nothing goes
// for a copy of lower rank.
type store struct {
	room   float64 // KB
	used   float64
	copies map[int64]*kept
	ranks  [4]kept          // rings by recency
	groups [groupCount]kept // rings by group, so that a purge costs what it drops
}

type kept struct {
	key          int64
	kb           float64
	issued       int64
	group        int64
	rank         int
	newer, older *kept
	next, prev   *kept // in the ring of its group
}

func newStore(kb float64) *store {
	s := &store{room: kb, copies: map[int64]*kept{}}
	s.clear()
	return s
}

func (s *store) clear() {
	clear(s.copies)
	s.used = 0
	for i := range s.ranks {
		s.ranks[i].newer, s.ranks[i].older = &s.ranks[i], &s.ranks[i]
	}
	for i := range s.groups {
		s.groups[i].next, s.groups[i].prev = &s.groups[i], &s.groups[i]
	}
}

func (s *store) unlink(c *kept) { c.newer.older, c.older.newer = c.older, c.newer }

// front makes a copy the newest of its rank. A ring's own node has the oldest as
// its newer and the newest as its older.
func (s *store) front(c *kept) {
	ring := &s.ranks[c.rank]
	c.older, c.newer = ring.older, ring
	ring.older.newer = c
	ring.older = c
}

func (s *store) get(key int64) *kept {
	c := s.copies[key]
	if c != nil {
		s.unlink(c)
		s.front(c)
	}
	return c
}

func (s *store) drop(c *kept) {
	s.unlink(c)
	c.next.prev, c.prev.next = c.prev, c.next
	delete(s.copies, c.key)
	s.used -= c.kb
}

func (s *store) put(key int64, kb float64, issued, group int64, rank int) {
	if c := s.copies[key]; c != nil {
		if c.issued > issued {
			return
		}
		s.drop(c)
	}
	if kb > s.room {
		return
	}
	for r := 0; s.used+kb > s.room; {
		ring := &s.ranks[r]
		if ring.newer == ring {
			if r++; r > rank {
				return // all that is left is ranked higher
			}
			continue
		}
		s.drop(ring.newer)
	}
	c := &kept{key: key, kb: kb, issued: issued, group: group, rank: rank}
	s.copies[key] = c
	s.used += kb
	s.front(c)
	ring := &s.groups[group%groupCount]
	c.next, c.prev = ring.next, ring
	ring.next.prev, ring.next = c, c
}

// purge drops what was given out before a purge of an object or, below 0, a group.
func (s *store) purge(object, group, at int64) {
	if object >= 0 {
		for part := range int64(1 << partBits) {
			if c := s.copies[keyOf(object, part)]; c != nil && c.issued <= at {
				s.drop(c)
			}
		}
		return
	}
	ring := &s.groups[group%groupCount]
	for c := ring.next; c != ring; {
		next := c.next
		if c.issued <= at {
			s.drop(c)
		}
		c = next
	}
}
