package engine

import "container/heap"

// timer falls due for a hop, for a txn's time limit or for the module. Those of
// hops and txns that end before are taken out, since they hold all of a txn.
type timer struct {
	due   int64
	hop   *Attempt
	txn   *Request
	token int64
	place int // in the heap; -1: out of it
}

type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}

func (t *timers) Push(x any) {
	x.(*timer).place = len(*t)
	*t = append(*t, x.(*timer))
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	x.place = -1
	return x
}

// at sets a timer; one that comes before all others moves the next call of Run.
func (c *Engine) at(now int64, t *timer) *timer {
	t.due = max(t.due, now)
	if len(c.timers) == 0 || t.due < c.timers[0].due {
		c.kick()
	}
	heap.Push(&c.timers, t)
	return t
}

// over takes a timer out, if it was set and has not fallen due.
func (c *Engine) over(t *timer) {
	if t != nil && t.place >= 0 {
		heap.Remove(&c.timers, t.place)
	}
}

func (c *Engine) pop() *timer { return heap.Pop(&c.timers).(*timer) }
