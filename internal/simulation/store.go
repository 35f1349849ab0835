package simulation

// priorityCount is the number of cache priorities, from 0.
const priorityCount = 4

// copyStore holds the copies of a cache or a parent. When it is full, copies of the lowest priority are evicted first,
// and within a priority the least recently used. No copy is evicted for a copy of lower priority. A purge of a group
// visits the copies of that group only, through the group's ring.
type copyStore struct {
	capacityKB    float64
	usedKB        float64
	copies        map[int64]*cachedCopy
	priorityRings [priorityCount]cachedCopy // heads of the rings of each priority, by recency
	groupRings    [groupCount]cachedCopy    // heads of the rings of each purge group
}

// cachedCopy is one part of an object. It is linked into the ring of its priority and the ring of its group. A ring's
// head is a cachedCopy without contents.
type cachedCopy struct {
	key          int64
	sizeKB       float64
	issuedAt     int64
	group        int64
	priority     int
	newer, older *cachedCopy // in the ring of its priority
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
	for i := range s.priorityRings {
		head := &s.priorityRings[i]
		head.newer = head
		head.older = head
	}
	for i := range s.groupRings {
		head := &s.groupRings[i]
		head.next = head
		head.prev = head
	}
}

// get finds a copy and makes it the most recently used one of its priority.
func (s *copyStore) get(key int64) *cachedCopy {
	cached := s.copies[key]
	if cached != nil {
		cached.unlinkPriority()
		s.linkNewest(cached)
	}
	return cached
}

// put stores a copy unless a newer one is stored, or copies of higher priority leave no space for it. Copies that were
// evicted to make space stay evicted in that case.
func (s *copyStore) put(key int64, sizeKB float64, issuedAt, group int64, priority int) {
	if cached := s.copies[key]; cached != nil {
		if cached.issuedAt > issuedAt {
			return
		}
		s.remove(cached)
	}
	if sizeKB > s.capacityKB || !s.evict(sizeKB, priority) {
		return
	}
	cached := &cachedCopy{key: key, sizeKB: sizeKB, issuedAt: issuedAt, group: group, priority: priority}
	s.copies[key] = cached
	s.usedKB += sizeKB
	s.linkNewest(cached)
	s.linkGroup(cached)
}

// evict removes copies of priorities up to maxPriority until a copy of the given size fits. It reports whether it does.
func (s *copyStore) evict(sizeKB float64, maxPriority int) bool {
	priority := 0
	for s.usedKB+sizeKB > s.capacityKB {
		head := &s.priorityRings[priority]
		if oldest := head.newer; oldest != head {
			s.remove(oldest)
			continue
		}
		priority++
		if priority > maxPriority {
			return false
		}
	}
	return true
}

// purge drops the copies of an object, or of a group if object is wholeGroup, that were issued at the given time or
// before.
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
	cached.unlinkPriority()
	cached.unlinkGroup()
	delete(s.copies, cached.key)
	s.usedKB -= cached.sizeKB
}

// linkNewest makes a copy the most recently used one of its priority. The head's newer is the least recently used copy
// of the ring, and its older the most recently used one.
func (s *copyStore) linkNewest(cached *cachedCopy) {
	head := &s.priorityRings[cached.priority]
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

func (c *cachedCopy) unlinkPriority() {
	c.newer.older = c.older
	c.older.newer = c.newer
}

func (c *cachedCopy) unlinkGroup() {
	c.next.prev = c.prev
	c.prev.next = c.next
}
