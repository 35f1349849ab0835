package engine

// CommandKind says what a Command asks for.
type CommandKind uint8

// The commands of a request, then those that are always in the background.
const (
	CommandSend        CommandKind = iota // put the attempt on a connection
	CommandDrop                           // give the attempt up
	CommandRespond                        // answer with Response
	CommandReject                         // answer that repeating the request is harmless, after RetryAfter
	CommandFail                           // answer that the request failed
	CommandHealthCheck                    // check the endpoint's health
	CommandLog                            // write Text to the log, with EndpointID and Backoff
)

var commandNames = [...]string{
	CommandSend:        "send",
	CommandDrop:        "drop",
	CommandRespond:     "respond",
	CommandReject:      "reject",
	CommandFail:        "fail",
	CommandHealthCheck: "health check",
	CommandLog:         "log",
}

// String returns the command's name for logs and tests.
func (k CommandKind) String() string { return commandNames[k] }

// Command is one thing to do on the sockets.
type Command struct {
	Kind          CommandKind
	Attempt       *Attempt  // of CommandSend, CommandDrop and CommandRespond
	Silent        bool      // of CommandDrop: the attempt timed out without an answer
	Response      Response  // of CommandRespond
	RetryAfter    int64     // of CommandReject: microseconds from now; 0: not given
	MaybeExecuted bool      // of CommandReject and CommandFail: an attempt may have run
	Endpoint      *Endpoint // of CommandHealthCheck
	Text          string    // of CommandLog: policy.LogEjected or policy.LogReadmitted
	EndpointID    string    // of CommandLog
	Backoff       int64     // of CommandLog: microseconds; 0: none
}

// Response is what a request is answered with; the engine only hands it on, or
// calls Release where nobody waits for it.
type Response interface{ Release() }

// post puts a command into the request's command queue, or leaves it to the caller of
// Run once nobody reads the command queue.
func (r *Request) post(command Command) {
	if r.wake == nil {
		r.engine.postBackground(command)
		return
	}
	r.commandQueue = append(r.commandQueue, command)
	r.wake()
}

// TakeCommands empties the command queue.
func (r *Request) TakeCommands() []Command {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	return r.emptyCommandQueue()
}

// Detach says that the command queue is read no more: wake is not called again, and
// later commands become background commands. It returns what is left.
func (r *Request) Detach() []Command {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	r.wake = nil
	return r.emptyCommandQueue()
}

// emptyCommandQueue is called with the engine's lock.
func (r *Request) emptyCommandQueue() []Command {
	commands := r.commandQueue
	r.commandQueue = nil
	return commands
}
