package diskcache

// entry is one cached part: 64 bytes without a pointer, so that the garbage collector
// never scans a million of them.
type entry struct {
	key       uint64 // hash of class, object, part and group
	object    uint64
	issued    int64 // Unix milliseconds
	seq       uint64
	firstSlot uint32 // of its chain
	length    uint32 // bytes on disk, record header included

	newer, older                   uint32 // recency
	nextInBucket                   uint32 // next in the bucket by key, or in the free list
	nextOfObject, previousOfObject uint32 // in the bucket by object; no previous one: the first
	class, group                   uint8
	epoch                          uint8 // equal to Policy.epoch: no purge that may cover it is unknown
	state                          entryState
}

type entryState uint8

const (
	entryFree     entryState = iota
	entryWriting             // handed to the disk, can't be read yet
	entryReadable            // can be read
)

// index finds entries by key and by object, and orders them by recency. Its buckets are
// allocated at once, its entries as they come.
type index struct {
	chunks        []*[chunkSize]entry
	maxEntries    int
	allocated     int    // entries ever taken into use
	freeList      uint32 // free entries, linked by nextInBucket
	entries       int
	keyBuckets    []uint32
	objectBuckets []uint32
	mask          uint64
	newest        uint32
	oldest        uint32
	usedSlots     int // slots of all entries
}

const chunkSize = 1 << 12 // entries allocated together

func newIndex(maxEntries int) *index {
	buckets := 1
	for buckets < maxEntries {
		buckets *= 2
	}
	x := &index{
		maxEntries: maxEntries, freeList: noIndex, newest: noIndex, oldest: noIndex, mask: uint64(buckets - 1),
		keyBuckets: make([]uint32, buckets), objectBuckets: make([]uint32, buckets),
	}
	for i := range x.keyBuckets {
		x.keyBuckets[i], x.objectBuckets[i] = noIndex, noIndex
	}
	return x
}

func (x *index) at(i uint32) *entry { return &x.chunks[i/chunkSize][i%chunkSize] }

// find gives the place of a key's entry, or noIndex.
func (x *index) find(key uint64) uint32 {
	for i := x.keyBuckets[key&x.mask]; i != noIndex; i = x.at(i).nextInBucket {
		if x.at(i).key == key {
			return i
		}
	}
	return noIndex
}

// add makes an entry, the most recently used one; noIndex: the index is full.
func (x *index) add(e entry) uint32 {
	i := x.freeList
	switch {
	case i != noIndex:
		x.freeList = x.at(i).nextInBucket
	case x.allocated >= x.maxEntries:
		return noIndex
	default:
		if x.allocated%chunkSize == 0 {
			x.chunks = append(x.chunks, new([chunkSize]entry))
		}
		i = uint32(x.allocated)
		x.allocated++
	}
	bucket, objects := &x.keyBuckets[e.key&x.mask], &x.objectBuckets[e.object&x.mask]
	e.nextInBucket = *bucket
	e.nextOfObject = *objects
	e.previousOfObject = noIndex
	if e.nextOfObject != noIndex {
		x.at(e.nextOfObject).previousOfObject = i
	}
	*bucket, *objects = i, i
	*x.at(i) = e
	x.entries++
	x.pushNewest(i)
	return i
}

// remove takes an entry out.
func (x *index) remove(i uint32) {
	e := x.at(i)
	x.unlinkRecency(i)
	for at := &x.keyBuckets[e.key&x.mask]; *at != noIndex; at = &x.at(*at).nextInBucket {
		if *at == i {
			*at = e.nextInBucket
			break
		}
	}
	if e.previousOfObject == noIndex {
		x.objectBuckets[e.object&x.mask] = e.nextOfObject
	} else {
		x.at(e.previousOfObject).nextOfObject = e.nextOfObject
	}
	if e.nextOfObject != noIndex {
		x.at(e.nextOfObject).previousOfObject = e.previousOfObject
	}
	*e = entry{nextInBucket: x.freeList}
	x.freeList = i
	x.entries--
}

func (x *index) pushNewest(i uint32) {
	e := x.at(i)
	e.newer = noIndex
	e.older = x.newest
	if x.newest != noIndex {
		x.at(x.newest).newer = i
	} else {
		x.oldest = i
	}
	x.newest = i
}

func (x *index) unlinkRecency(i uint32) {
	e := x.at(i)
	if e.newer != noIndex {
		x.at(e.newer).older = e.older
	} else {
		x.newest = e.older
	}
	if e.older != noIndex {
		x.at(e.older).newer = e.newer
	} else {
		x.oldest = e.newer
	}
}

// touch makes an entry the most recently used one.
func (x *index) touch(i uint32) {
	if x.newest != i {
		x.unlinkRecency(i)
		x.pushNewest(i)
	}
}
