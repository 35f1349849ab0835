package simulation

// rankCount is the number of retention ranks, from 0.
const rankCount = 4

// copyStore holds the copies of a cache or a parent. When it is full, copies of the lowest rank are evicted first,
// and within a rank the least recently used. No copy is evicted for one of lower rank.
type copyStore struct {
	capacityKB float64
	usedKB     float64
	copies     map[int64]*cachedCopy
	rankRings  [rankCount]cachedCopy  // of the copies of each rank, by recency
	groupRings [groupCount]cachedCopy // of the copies of each purge group, so that a purge visits no others
}

// cachedCopy is one part of an object. It is linked into the ring of its rank and the ring of its group. A ring's
// head is a cachedCopy without contents.
type cachedCopy struct {
	key          int64
	sizeKB       float64
	issuedAt     int64
	group        int64
	rank         int
	newer, older *cachedCopy // in the ring of its rank
	next, prev   *cachedCopy // in the ring of its group
}

func newCopyStore(capacityKB float64) *copyStore {
	s := &copyStore{capacityKB: capacityKB, copies: map[int64]*cachedCopy{}}
	s.clear()
	return s
}

// clear drops all copies.
func (s *copyStore) clear() {
	clear(s.copies)
	s.usedKB = 0
	for i := range s.rankRings {
		head := &s.rankRings[i]
		head.newer = head
		head.older = head
	}
	for i := range s.groupRings {
		head := &s.groupRings[i]
		head.next = head
		head.prev = head
	}
}

// get finds a copy and makes it the most recently used of its rank.
func (s *copyStore) get(key int64) *cachedCopy {
	cached := s.copies[key]
	if cached != nil {
		cached.unlinkRank()
		s.linkNewest(cached)
	}
	return cached
}

// put stores a copy unless a newer one is stored, or copies of higher rank leave no space for it. Copies that were
// evicted to make space stay evicted in that case.
func (s *copyStore) put(key int64, sizeKB float64, issuedAt, group int64, rank int) {
	if cached := s.copies[key]; cached != nil {
		if cached.issuedAt > issuedAt {
			return
		}
		s.remove(cached)
	}
	if sizeKB > s.capacityKB || !s.evict(sizeKB, rank) {
		return
	}
	cached := &cachedCopy{key: key, sizeKB: sizeKB, issuedAt: issuedAt, group: group, rank: rank}
	s.copies[key] = cached
	s.usedKB += sizeKB
	s.linkNewest(cached)
	s.linkGroup(cached)
}

// evict makes space for a copy and tells whether there is enough.
func (s *copyStore) evict(sizeKB float64, maxRank int) bool {
	rank := 0
	for s.usedKB+sizeKB > s.capacityKB {
		head := &s.rankRings[rank]
		if oldest := head.newer; oldest != head {
			s.remove(oldest)
			continue
		}
		rank++
		if rank > maxRank {
			return false
		}
	}
	return true
}

// purge drops the copies of an object, or of a group if object is wholeGroup, that were issued at a time or before.
func (s *copyStore) purge(object, group, at int64) {
	if object < 0 {
		s.purgeGroup(group, at)
		return
	}
	for part := range int64(1 << partBits) {
		if cached := s.copies[partKey(object, part)]; cached != nil && cached.issuedAt <= at {
			s.remove(cached)
		}
	}
}

func (s *copyStore) purgeGroup(group, at int64) {
	head := &s.groupRings[group%groupCount]
	for cached := head.next; cached != head; {
		next := cached.next
		if cached.issuedAt <= at {
			s.remove(cached)
		}
		cached = next
	}
}

func (s *copyStore) remove(cached *cachedCopy) {
	cached.unlinkRank()
	cached.unlinkGroup()
	delete(s.copies, cached.key)
	s.usedKB -= cached.sizeKB
}

// linkNewest makes a copy the newest of its rank. The ring's head has the oldest copy as its newer one and the
// newest as its older one.
func (s *copyStore) linkNewest(cached *cachedCopy) {
	head := &s.rankRings[cached.rank]
	cached.older = head.older
	cached.newer = head
	head.older.newer = cached
	head.older = cached
}

func (s *copyStore) linkGroup(cached *cachedCopy) {
	head := &s.groupRings[cached.group%groupCount]
	cached.next = head.next
	cached.prev = head
	head.next.prev = cached
	head.next = cached
}

func (c *cachedCopy) unlinkRank() {
	c.newer.older = c.older
	c.older.newer = c.newer
}

func (c *cachedCopy) unlinkGroup() {
	c.next.prev = c.prev
	c.prev.next = c.next
}
