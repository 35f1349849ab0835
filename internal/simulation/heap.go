package simulation

// binaryHeap is a list whose element i sorts before its children 2i+1 and 2i+2. less must be a total order, so that
// the order in which elements leave the heap does not depend on how it was built.
type binaryHeap interface {
	~[]event | ~[]*job
	less(i, j int) bool
	swap(i, j int)
}

// siftUp moves element i up until its parent sorts before it.
func siftUp[H binaryHeap](h H, i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// siftDown moves element i down until it sorts before its children.
func siftDown[H binaryHeap](h H, i int) {
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(h) && h.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
