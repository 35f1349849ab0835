package engine

import (
	"sync/atomic"

	"quilldoor/internal/policy"
)

// CommandKind tells what an Order asks for.
type CommandKind uint8

// The orders of a txn, then those of no txn in particular.
const (
	CommandSend        CommandKind = iota // put the hop on a connection
	CommandDrop                           // give the hop up
	CommandRespond                        // answer with Reply
	CommandReject                         // answer that trying again is harmless, Stay from now
	CommandFail                           // answer that it failed
	CommandHealthCheck                    // ask the server whether it is there
	CommandDisconnect                     // close idle connections to the server
	CommandLog                            // write Text to the log
)

// Command is one thing to do on the sockets.
type Command struct {
	Kind          CommandKind
	Attempt       *Attempt // of Completed: that brought the answer
	Silent        bool     // of Drop: its time ran out without an answer
	Response      Response
	RetryAfter    int64
	MaybeExecuted bool // of Rejected and Aborted: a hop may have run, or is out
	Endpoint      *Endpoint
	Text          string
}

// Request is one open txn.
type Request struct {
	ID       string
	core     *Engine
	deadline int64
	limit    *timer
	closed   bool
	unsafe   bool // unrepeatable
	hops     []*Attempt
	out      int  // hops that have not ended
	ran      bool // one that ended may have run
	box      []Command
	wake     func() // nil once nobody reads the mailbox
}

func (t *Request) post(o Command) {
	if t.wake != nil {
		t.box = append(t.box, o)
		t.wake()
		return
	}
	t.core.errand(o)
}

// TakeCommands empties the mailbox.
func (t *Request) TakeCommands() []Command {
	t.core.mu.Lock()
	defer t.core.mu.Unlock()
	box := t.box
	t.box = nil
	return box
}

// Detach says that the mailbox is read no more: wake is not called again, and
// what still comes becomes an errand. It returns what is left.
func (t *Request) Detach() []Command {
	t.core.mu.Lock()
	defer t.core.mu.Unlock()
	box := t.box
	t.box, t.wake = nil, nil
	return box
}

// Attempts are how many it has had so far.
func (t *Request) Attempts() int {
	t.core.mu.Lock()
	defer t.core.mu.Unlock()
	return len(t.hops)
}

// Attempt is one attempt of a txn at a server.
type Attempt struct {
	Request       *Request
	Number        int
	Endpoint      *Endpoint
	Source        string // "": a miss is not filled
	CachePriority int
	MaxAge        int64 // whole microseconds; 0: the fresh time of the class
	FillMode      policy.FillMode
	DecidedAt     int64 // when the module decided on it
	Deadline      int64 // when the router stops waiting
	SendBefore    int64 // when it may no more be written; 0: as Due
	Unsafe        bool  // its txn is unrepeatable, and another hop of it may have run
	// Transport has the hop on the sockets, once it was sent.
	Transport interface{ Drop(silent bool) }

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
func (h *Attempt) Drop(silent bool) {
	if h.Transport != nil {
		h.Transport.Drop(silent)
	}
}

// Begin claims the hop for being written; false: it was withdrawn.
func (h *Attempt) Begin() bool { return h.state.CompareAndSwap(waiting, begun) }

// Withdrawn tells whether it was withdrawn before it began.
func (h *Attempt) Withdrawn() bool { return h.state.Load() == withdrawn }

// MayBeSent tells whether what was decided may still be written, at the moment of
// writing: its time is not over, a repeat is within its window, and nothing that was
// told since the decision binds yet, which it does later than the given time.
func (h *Attempt) MayBeSent(now, fresh int64) bool {
	return now < h.Deadline && (h.SendBefore == 0 || now < h.SendBefore) && now-h.DecidedAt <= fresh
}

// Withdraw tells whether it is proven that the hop was not written and will
// not be.
func (h *Attempt) Withdraw() bool {
	return h.state.CompareAndSwap(waiting, withdrawn) || h.state.Load() == withdrawn
}
