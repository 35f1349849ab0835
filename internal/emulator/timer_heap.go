package emulator

// timerHeap orders routers by their next timer; routers with equal timers are ordered by ID. It
// implements heap.Interface.
type timerHeap []*virtualRouter

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].nextTimer < h[j].nextTimer || h[i].nextTimer == h[j].nextTimer && h[i].id < h[j].id
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *timerHeap) Push(x any) {
	x.(*virtualRouter).heapIndex = len(*h)
	*h = append(*h, x.(*virtualRouter))
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	router := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	router.heapIndex = -1
	return router
}
