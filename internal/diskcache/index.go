package diskcache

// entry is a cached part. It takes 64 bytes and holds no pointers, so that the garbage
// collector does not scan an index of a million entries.
type entry struct {
	key       uint64 // hash of class, object, part and group
	object    uint64 // hash of the object's name
	issued    int64  // Unix milliseconds
	seq       uint64 // of the record
	firstSlot uint32 // of the record's chain
	length    uint32 // bytes on disk, record header included

	newer, older                   uint32 // neighbours in the list by recency
	nextInBucket                   uint32 // next entry in the bucket by key, or in the free list
	nextOfObject, previousOfObject uint32 // neighbours in the bucket by object; the first entry has no previous one
	class, group                   uint8
	epoch                          uint8 // if equal to Policy.epoch, all purges that may cover the copy are known
	state                          entryState
}

type entryState uint8

const (
	entryFree    entryState = iota
	entryWriting            // being written, not readable yet
	entryReadable
)

// index finds entries by key and by object, and orders them by recency of use. Its buckets
// are allocated at the start, its entries in chunks when they are needed.
type index struct {
	chunks        []*[chunkSize]entry
	maxEntries    int
	allocated     int    // entries taken from the chunks so far, freed ones included
	freeList      uint32 // free entries, linked by nextInBucket
	entries       int
	keyBuckets    []uint32
	objectBuckets []uint32
	mask          uint64
	newest        uint32
	oldest        uint32
	usedSlots     int // by all entries
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

// find returns the index of a key's entry, or noIndex if there is none.
func (x *index) find(key uint64) uint32 {
	for i := x.keyBuckets[key&x.mask]; i != noIndex; i = x.at(i).nextInBucket {
		if x.at(i).key == key {
			return i
		}
	}
	return noIndex
}

// add inserts an entry as the most recently used one and returns its index, or noIndex if
// the index is full.
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
	keyBucket, objectBucket := &x.keyBuckets[e.key&x.mask], &x.objectBuckets[e.object&x.mask]
	e.nextInBucket = *keyBucket
	e.nextOfObject = *objectBucket
	e.previousOfObject = noIndex
	if e.nextOfObject != noIndex {
		x.at(e.nextOfObject).previousOfObject = i
	}
	*keyBucket, *objectBucket = i, i
	*x.at(i) = e
	x.entries++
	x.pushNewest(i)
	return i
}

// remove unlinks an entry and adds it to the free list.
func (x *index) remove(i uint32) {
	e := x.at(i)
	x.unlinkRecency(i)
	for link := &x.keyBuckets[e.key&x.mask]; *link != noIndex; link = &x.at(*link).nextInBucket {
		if *link == i {
			*link = e.nextInBucket
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
