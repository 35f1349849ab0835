package emulator

// dueHeap orders routers by their next timer, and by their number where timers are equal.
// It implements heap.Interface.
type dueHeap []*vrouter

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	return h[i].next < h[j].next || h[i].next == h[j].next && h[i].id < h[j].id
}

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *dueHeap) Push(x any) {
	x.(*vrouter).place = len(*h)
	*h = append(*h, x.(*vrouter))
}

func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	x.place = -1
	return x
}
