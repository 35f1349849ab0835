package engine

import (
	"container/heap"

	"quilldoor/internal/policy"
)

// timer fires at an attempt's deadline, after a request's deadline or, with neither
// set, when the policy requested it. The timer of an attempt or request is removed
// when the attempt or request ends, since it keeps the whole request in memory.
type timer struct {
	due     int64 // microseconds
	attempt *Attempt
	request *Request
	token   int64 // identifies a timer of the policy
	index   int   // position in the heap; -1: removed
}

// timerHeap implements heap.Interface; the timer that is due next is at index 0.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *timerHeap) Push(item any) {
	added := item.(*timer)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	removed.index = -1
	return removed
}

// setTimer adds a timer. If it is due before all others, setTimer requests an
// earlier call of Run.
func (e *Engine) setTimer(now int64, t *timer) *timer {
	t.due = max(t.due, now)
	if len(e.timers) == 0 || t.due < e.timers[0].due {
		e.requestRun()
	}
	heap.Push(&e.timers, t)
	return t
}

// stopTimer removes a timer, if it was set and has not fired.
func (e *Engine) stopTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&e.timers, t.index)
	}
}

func (e *Engine) popTimer() *timer { return heap.Pop(&e.timers).(*timer) }

// fire handles a timer that is due. The caller dispatches the queued events.
func (e *Engine) fire(now int64, t *timer) {
	switch {
	case t.attempt != nil:
		e.timeOut(now, t.attempt)
	case t.request != nil:
		e.failOverdue(now, t.request)
	default:
		e.events = append(e.events, policy.Event{Kind: policy.EventTimer, Token: t.token})
	}
}
