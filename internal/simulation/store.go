package simulation

// copyStore is what a cache or a parent keeps: by rank, and within it by recency.
// What was ranked lowest goes first, then what was used longest ago; nothing goes
// for a copy of lower rank.
type copyStore struct {
	capacityKB float64 // KB
	usedKB     float64
	copies     map[int64]*cachedCopy
	rankRings  [4]cachedCopy          // rings by recency
	groupRings [groupCount]cachedCopy // rings by group, so that a purge costs what it drops
}

type cachedCopy struct {
	key          int64
	sizeKB       float64
	issuedAt     int64
	group        int64
	rank         int
	newer, older *cachedCopy
	next, prev   *cachedCopy // in the ring of its group
}

func newCopyStore(kb float64) *copyStore {
	s := &copyStore{capacityKB: kb, copies: map[int64]*cachedCopy{}}
	s.clear()
	return s
}

func (s *copyStore) clear() {
	clear(s.copies)
	s.usedKB = 0
	for i := range s.rankRings {
		s.rankRings[i].newer, s.rankRings[i].older = &s.rankRings[i], &s.rankRings[i]
	}
	for i := range s.groupRings {
		s.groupRings[i].next, s.groupRings[i].prev = &s.groupRings[i], &s.groupRings[i]
	}
}

func (s *copyStore) unlink(cached *cachedCopy) {
	cached.newer.older, cached.older.newer = cached.older, cached.newer
}

// moveToFront makes a copy the newest of its rank. A ring's own node has the oldest as
// its newer and the newest as its older.
func (s *copyStore) moveToFront(cached *cachedCopy) {
	ring := &s.rankRings[cached.rank]
	cached.older, cached.newer = ring.older, ring
	ring.older.newer = cached
	ring.older = cached
}

func (s *copyStore) get(key int64) *cachedCopy {
	cached := s.copies[key]
	if cached != nil {
		s.unlink(cached)
		s.moveToFront(cached)
	}
	return cached
}

func (s *copyStore) remove(cached *cachedCopy) {
	s.unlink(cached)
	cached.next.prev, cached.prev.next = cached.prev, cached.next
	delete(s.copies, cached.key)
	s.usedKB -= cached.sizeKB
}

func (s *copyStore) put(key int64, sizeKB float64, issuedAt, group int64, rank int) {
	if cached := s.copies[key]; cached != nil {
		if cached.issuedAt > issuedAt {
			return
		}
		s.remove(cached)
	}
	if sizeKB > s.capacityKB {
		return
	}
	for r := 0; s.usedKB+sizeKB > s.capacityKB; {
		ring := &s.rankRings[r]
		if ring.newer == ring {
			if r++; r > rank {
				return // all that is left is ranked higher
			}
			continue
		}
		s.remove(ring.newer)
	}
	cached := &cachedCopy{key: key, sizeKB: sizeKB, issuedAt: issuedAt, group: group, rank: rank}
	s.copies[key] = cached
	s.usedKB += sizeKB
	s.moveToFront(cached)
	ring := &s.groupRings[group%groupCount]
	cached.next, cached.prev = ring.next, ring
	ring.next.prev, ring.next = cached, cached
}

// purge drops what was given out before a purge of an object or, below 0, a group.
func (s *copyStore) purge(object, group, at int64) {
	if object >= 0 {
		for part := range int64(1 << partBits) {
			if cached := s.copies[partKey(object, part)]; cached != nil && cached.issuedAt <= at {
				s.remove(cached)
			}
		}
		return
	}
	ring := &s.groupRings[group%groupCount]
	for cached := ring.next; cached != ring; {
		next := cached.next
		if cached.issuedAt <= at {
			s.remove(cached)
		}
		cached = next
	}
}
