package engine

import (
	"container/heap"

	"quilldoor/internal/policy"
)

// timer is for an attempt's deadline, a request's or, with neither, the policy.
// Timers of requests and attempts are removed as those end, since each keeps all
// of a request in memory.
type timer struct {
	due     int64 // microseconds
	attempt *Attempt
	request *Request
	token   int64 // the policy's
	index   int   // in the heap; -1: removed
}

// timerHeap is a heap.Interface with the timer that is due next in front.
type timerHeap []*timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index = i
	t[j].index = j
}

func (t *timerHeap) Push(x any) {
	added := x.(*timer)
	added.index = len(*t)
	*t = append(*t, added)
}

func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	removed := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	removed.index = -1
	return removed
}

// setTimer adds a timer; one that is due before all others moves the next call
// of Run.
func (e *Engine) setTimer(now int64, t *timer) *timer {
	t.due = max(t.due, now)
	if len(e.timers) == 0 || t.due < e.timers[0].due {
		e.kick()
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

// fire does what a timer was set for. The caller dispatches the events.
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
