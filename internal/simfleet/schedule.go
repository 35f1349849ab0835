package simfleet

import "container/heap"

// event is an action that is scheduled for a time. Events of the same time run in the order of seq.
type event struct {
	at, sequence int64
	action       func()
}

// eventQueue is a heap of events by time. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// Schedule schedules an action for a time, or for now if that time has passed.
func (f *Fleet) Schedule(at int64, action func()) {
	f.lastSequence++
	heap.Push(&f.events, event{max(at, f.Now), f.lastSequence, action})
}

// NextEvent returns the time of the next scheduled action, or a time that is never reached if none is scheduled.
func (f *Fleet) NextEvent() int64 {
	const never = 1 << 62 // leaves room to add durations without overflow
	if len(f.events) == 0 {
		return never
	}
	return f.events[0].at
}

// RunUntil runs the actions that are scheduled up to a time, and advances the clock to that time.
func (f *Fleet) RunUntil(at int64) {
	for len(f.events) > 0 && f.events[0].at <= at {
		next := heap.Pop(&f.events).(event)
		f.Now = max(f.Now, next.at)
		next.action()
	}
	f.Now = max(f.Now, at)
}
