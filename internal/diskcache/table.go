package diskcache

// entry is one part that is kept: 64 bytes without a pointer, so that a million
// of them cost the collector nothing.
type entry struct {
	key    uint64 // of rule, object and part
	object uint64
	issued int64 // Unix milliseconds
	seq    uint64
	slot   uint32 // the first of its chain
	length uint32 // bytes on disk, head included

	newer, older   uint32 // recency
	sameKey        uint32 // next in the bucket by key
	objNext, objIn uint32 // next and previous in the bucket by object; objIn none: the first
	rule, group    uint8
	epoch          uint8 // vouched for, if it is the tier's
	state          entryState
}

type entryState uint8

const (
	vacant  entryState = iota
	writing            // handed to the disk, can't be read yet
	kept               // can be read
)

// table finds entries by key and by object, and knows their recency. It takes
// the memory of its buckets at once, that of entries as they come.
type table struct {
	chunks   []*[chunkSize]entry
	most     int
	used     int    // entries ever handed out
	vacant   uint32 // list of vacant ones, through sameKey
	live     int
	keys     []uint32
	objects  []uint32
	mask     uint64
	newest   uint32
	oldest   uint32
	liveSlot int // slots of live entries
}

const (
	chunkSize = 1 << 12
	// bytesAPart is what an entry and its places in both buckets take at the most,
	// with buckets between half and all full.
	bytesAPart = 64 + 2*2*4
)

func newTable(most int) *table {
	buckets := 1
	for buckets < most {
		buckets *= 2
	}
	t := &table{
		most: most, vacant: none, newest: none, oldest: none, mask: uint64(buckets - 1),
		keys: make([]uint32, buckets), objects: make([]uint32, buckets),
	}
	for i := range t.keys {
		t.keys[i], t.objects[i] = none, none
	}
	return t
}

func (t *table) at(i uint32) *entry { return &t.chunks[i/chunkSize][i%chunkSize] }

// find gives the place of a key's entry, or none.
func (t *table) find(key uint64) uint32 {
	for i := t.keys[key&t.mask]; i != none; i = t.at(i).sameKey {
		if t.at(i).key == key {
			return i
		}
	}
	return none
}

// add makes an entry, the newest of all; none: the table is full.
func (t *table) add(e entry) uint32 {
	i := t.vacant
	switch {
	case i != none:
		t.vacant = t.at(i).sameKey
	case t.used >= t.most:
		return none
	default:
		if t.used%chunkSize == 0 {
			t.chunks = append(t.chunks, new([chunkSize]entry))
		}
		i = uint32(t.used)
		t.used++
	}
	bucket, objects := &t.keys[e.key&t.mask], &t.objects[e.object&t.mask]
	e.sameKey, e.objNext, e.objIn = *bucket, *objects, none
	if e.objNext != none {
		t.at(e.objNext).objIn = i
	}
	*bucket, *objects = i, i
	*t.at(i) = e
	t.live++
	t.link(i)
	return i
}

// remove takes an entry out.
func (t *table) remove(i uint32) {
	e := t.at(i)
	t.unlink(i)
	for at := &t.keys[e.key&t.mask]; *at != none; at = &t.at(*at).sameKey {
		if *at == i {
			*at = e.sameKey
			break
		}
	}
	if e.objIn == none {
		t.objects[e.object&t.mask] = e.objNext
	} else {
		t.at(e.objIn).objNext = e.objNext
	}
	if e.objNext != none {
		t.at(e.objNext).objIn = e.objIn
	}
	*e = entry{sameKey: t.vacant}
	t.vacant = i
	t.live--
}

func (t *table) link(i uint32) {
	e := t.at(i)
	e.newer, e.older = none, t.newest
	if t.newest != none {
		t.at(t.newest).newer = i
	} else {
		t.oldest = i
	}
	t.newest = i
}

func (t *table) unlink(i uint32) {
	e := t.at(i)
	if e.newer != none {
		t.at(e.newer).older = e.older
	} else {
		t.newest = e.older
	}
	if e.older != none {
		t.at(e.older).newer = e.newer
	} else {
		t.oldest = e.newer
	}
}

// touch makes an entry the newest.
func (t *table) touch(i uint32) {
	if t.newest != i {
		t.unlink(i)
		t.link(i)
	}
}
