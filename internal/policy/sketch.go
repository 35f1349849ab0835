package policy

const sketchWidth = 1 << 12 // counters in each of four rows: a halving period sees about a thousand objects

const counterTop = 10 // where a counter stops rising (the design page's ten)

type sketch struct {
	rows   [4][sketchWidth / 16]uint64 // 4-bit counters, 16 to a word
	door   [sketchWidth / 16]uint64    // four bits to a counter's place
	sample int
}

// spot gives row i's place for a key's hash: two halves stepped as one.
func spot(h uint64, i int) uint64 { return (h + uint64(i)*(h>>32|1)) * 0x9e3779b97f4a7c15 >> 20 }

func (k *sketch) counter(h uint64, i int) (word *uint64, shift uint64) {
	p := spot(h, i) % sketchWidth
	return &k.rows[i][p/16], p % 16 * 4
}

func (k *sketch) minimum(h uint64) uint64 {
	low := uint64(counterTop)
	for i := range k.rows {
		w, s := k.counter(h, i)
		low = min(low, *w>>s&15)
	}
	return low
}

func (k *sketch) inDoor(h uint64, enter bool) bool {
	in := true
	for i := range k.rows {
		p := spot(h, i+4) % (sketchWidth * 4)
		bit := uint64(1) << (p % 64)
		in = in && k.door[p/64]&bit != 0
		if enter {
			k.door[p/64] |= bit
		}
	}
	return in
}

func (k *sketch) estimate(h uint64) uint64 {
	if k.inDoor(h, false) {
		return k.minimum(h) + 1
	}
	return k.minimum(h)
}

// count notes one txn; only the minimal counters rise.
func (k *sketch) count(h uint64) {
	k.sample++
	if !k.inDoor(h, true) {
		return
	}
	low := k.minimum(h)
	for i := range k.rows {
		if w, s := k.counter(h, i); low < counterTop && *w>>s&15 == low {
			*w += 1 << s
		}
	}
}

func (k *sketch) halve() {
	k.sample /= 2
	for i := range k.rows {
		for j, w := range k.rows[i] {
			k.rows[i][j] = w >> 1 & 0x7777777777777777
		}
	}
	clear(k.door[:])
}
