package engine

import "sync/atomic"

// OrderKind tells what an Order asks for.
type OrderKind uint8

// The orders of a txn, then those of no txn in particular.
const (
	Send       OrderKind = iota // put the hop on a connection
	Drop                        // give the hop up
	Completed                   // answer with Reply
	Rejected                    // answer that trying again is harmless, Stay from now
	Aborted                     // answer that it failed
	Probe                       // ask the server whether it is there
	Disconnect                  // close idle connections to the server
	Log                         // write Text to the log
)

// Order is one thing to do on the sockets.
type Order struct {
	Kind   OrderKind
	Hop    *Hop // of Completed: that brought the answer
	Silent bool // of Drop: its time ran out without an answer
	Reply  Reply
	Stay   int64
	Ran    bool // of Rejected and Aborted: a hop may have run, or is out
	Server *Server
	Text   string
}

// Txn is one open txn.
type Txn struct {
	ID       string
	core     *Core
	deadline int64
	limit    *timer
	closed   bool
	unsafe   bool // unrepeatable
	hops     []*Hop
	out      int  // hops that have not ended
	ran      bool // one that ended may have run
	box      []Order
	wake     func() // nil once nobody reads the mailbox
}

func (t *Txn) post(o Order) {
	if t.wake != nil {
		t.box = append(t.box, o)
		t.wake()
		return
	}
	t.core.errand(o)
}

// Take empties the mailbox.
func (t *Txn) Take() []Order {
	t.core.mu.Lock()
	defer t.core.mu.Unlock()
	box := t.box
	t.box = nil
	return box
}

// Detach says that the mailbox is read no more: wake is not called again, and
// what still comes becomes an errand. It returns what is left.
func (t *Txn) Detach() []Order {
	t.core.mu.Lock()
	defer t.core.mu.Unlock()
	box := t.box
	t.box, t.wake = nil, nil
	return box
}

// Hops are how many it has had so far.
func (t *Txn) Hops() int {
	t.core.mu.Lock()
	defer t.core.mu.Unlock()
	return len(t.hops)
}

// Hop is one attempt of a txn at a server.
type Hop struct {
	Txn     *Txn
	N       int
	Server  *Server
	Source  string // "": a miss is not filled
	Rank    int
	Age     int64 // whole microseconds; 0: the fresh time of the class
	Mode    int
	Decided int64 // when the module decided on it
	Due     int64 // when the router stops waiting
	Until   int64 // when it may no more be written; 0: as Due
	Twice   bool  // its txn is unrepeatable, and another hop of it may have run
	// Carrier has the hop on the sockets, once it was sent.
	Carrier interface{ Drop(silent bool) }

	limit *timer
	ended bool
	state atomic.Uint32
}

const (
	waiting   uint32 = iota // not a byte of it is on a connection
	begun                   // it may have come whole
	withdrawn               // it will not be written
)

// Drop gives the hop up on the sockets, if it came there.
func (h *Hop) Drop(silent bool) {
	if h.Carrier != nil {
		h.Carrier.Drop(silent)
	}
}

// Begin claims the hop for being written; false: it was withdrawn.
func (h *Hop) Begin() bool { return h.state.CompareAndSwap(waiting, begun) }

// Withdrawn tells whether it was withdrawn before it began.
func (h *Hop) Withdrawn() bool { return h.state.Load() == withdrawn }

// Stands tells whether what was decided may still be written, at the moment of
// writing: its time is not over, a repeat is within its window, and nothing that was
// told since the decision binds yet, which it does later than the given time.
func (h *Hop) Stands(now, fresh int64) bool {
	return now < h.Due && (h.Until == 0 || now < h.Until) && now-h.Decided <= fresh
}

// Withdraw tells whether it is proven that the hop was not written and will
// not be.
func (h *Hop) Withdraw() bool {
	return h.state.CompareAndSwap(waiting, withdrawn) || h.state.Load() == withdrawn
}
