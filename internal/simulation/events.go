package simulation

// event is one thing that is to happen.
type event struct {
	at, sequence int64
	action       func()
}

// eventQueue is a heap by time; what falls on one instant comes in the order in which
// it was set.
type eventQueue []event

func (h eventQueue) less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h *eventQueue) push(e event) {
	*h = append(*h, e)
	s := *h
	for i := len(s) - 1; i > 0; {
		up := (i - 1) / 2
		if !s.less(i, up) {
			break
		}
		s[i], s[up] = s[up], s[i]
		i = up
	}
}

func (h *eventQueue) pop() event {
	s := *h
	first, last := s[0], len(s)-1
	s[0], s[last] = s[last], event{}
	s = s[:last]
	for i := 0; ; {
		least := i
		for _, c := range [2]int{2*i + 1, 2*i + 2} {
			if c < len(s) && s.less(c, least) {
				least = c
			}
		}
		if least == i {
			break
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
	*h = s
	return first
}
