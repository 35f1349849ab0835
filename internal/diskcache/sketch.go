package diskcache

// sketch is the paper's TinyLFU (sections 3.2 to 3.4): a count-min table of four
// rows of 4-bit counters of which only the minimal ones rise, a doorkeeper Bloom
// filter that takes a first appearance, and a reset that halves all of it. The
// module's own has a size fixed at build time for some thousand objects; this
// one is sized by the disk. It takes four bytes for each part that it is made for,
// up to eight where that lies just above a power of two.
//
// The paper clears the doorkeeper with the reset only. Ten times the cache's size
// of objects wanted once would fill any that is worth its memory, and all would
// pass it; so this one is cleared by itself, too, when it has taken doorFull.
type sketch struct {
	rows   [4][]uint64
	door   []uint64
	mask   uint64
	inside int // taken by the doorkeeper since it was cleared
	sample int
}

const (
	counterTop = 15 // where a 4-bit counter stops
	// sampleFactor is the paper's ten times the cache size (section 3.4.1); fewer
	// would forget what is wanted once in a while, and a disk is there for that.
	sampleFactor = 10
	leastWidth   = 1 << 10
	// doorBits for each counter, and doorFull entries for each: eight bits an entry
	// let one in forty pass with four hashes.
	doorBits, doorFull = 16, 2
)

// newSketch makes one for as many objects as the disk may hold.
func newSketch(items int) *sketch {
	width := leastWidth
	for width < items {
		width *= 2
	}
	k := &sketch{mask: uint64(width - 1)}
	for i := range k.rows {
		k.rows[i] = make([]uint64, width/16)
	}
	k.door = make([]uint64, width*doorBits/64)
	return k
}

// spot steps the two halves of a hash (Kirsch and Mitzenmacher, 2006).
func spot(h uint64, i int) uint64 { return (h + uint64(i)*(h>>32|1)) * 0x9e3779b97f4a7c15 >> 20 }

func (k *sketch) minimum(h uint64) uint64 {
	low := uint64(counterTop)
	for i := range k.rows {
		p := spot(h, i) & k.mask
		low = min(low, k.rows[i][p/16]>>(p%16*4)&15)
	}
	return low
}

func (k *sketch) inDoor(h uint64, enter bool) bool {
	in := true
	for i := range k.rows {
		p := spot(h, i+4) & (k.mask*doorBits | (doorBits - 1))
		bit := uint64(1) << (p % 64)
		in = in && k.door[p/64]&bit != 0
		if enter {
			k.door[p/64] |= bit
		}
	}
	return in
}

// estimate tells how often an object was wanted of late.
func (k *sketch) estimate(h uint64) uint64 {
	if k.inDoor(h, false) {
		return k.minimum(h) + 1
	}
	return k.minimum(h)
}

// count notes that an object was wanted; so many are kept now.
func (k *sketch) count(h uint64, kept int) {
	if k.sample++; k.sample >= sampleFactor*max(kept, leastWidth/sampleFactor) {
		k.halve()
	}
	if !k.inDoor(h, true) {
		if k.inside++; k.inside >= doorFull*int(k.mask+1) {
			k.clearDoor()
		}
		return
	}
	low := k.minimum(h)
	for i := range k.rows {
		p := spot(h, i) & k.mask
		if w, s := &k.rows[i][p/16], p%16*4; low < counterTop && *w>>s&15 == low {
			*w += 1 << s
		}
	}
}

func (k *sketch) halve() {
	k.sample /= 2
	for _, row := range k.rows {
		for j, w := range row {
			row[j] = w >> 1 & 0x7777777777777777
		}
	}
	k.clearDoor()
}

func (k *sketch) clearDoor() {
	clear(k.door)
	k.inside = 0
}
