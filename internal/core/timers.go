package core

import "container/heap"

// timer falls due for a hop, for a txn's time limit or for the module. Those of
// hops and txns that have ended by then do nothing.
type timer struct {
	due   int64
	hop   *Hop
	txn   *Txn
	token int64
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

// at sets a timer; one that comes before all others moves the next call of Run.
func (c *Core) at(now int64, t timer) {
	t.due = max(t.due, now)
	if len(c.timers) == 0 || t.due < c.timers[0].due {
		c.kick()
	}
	heap.Push(&c.timers, t)
}

func (c *Core) pop() timer { return heap.Pop(&c.timers).(timer) }
