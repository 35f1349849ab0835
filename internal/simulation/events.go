package simulation

// event is an action that is scheduled for a time.
type event struct {
	at, sequence int64
	action       func()
}

// eventQueue is a binary heap of events by time. Events of the same time run in the order in which they were
// scheduled.
type eventQueue []event

func (q eventQueue) less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) push(e event) {
	*q = append(*q, e)
	siftUp(*q, len(*q)-1)
}

// pop removes the first event. The queue must not be empty.
func (q *eventQueue) pop() event {
	queue := *q
	first := queue[0]
	last := len(queue) - 1
	queue[0] = queue[last]
	queue[last] = event{} // releases the action to the garbage collector
	*q = queue[:last]
	siftDown(*q, 0)
	return first
}
