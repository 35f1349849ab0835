package engine

// CommandKind is the kind of a Command.
type CommandKind uint8

// The commands of a request, followed by those that are always background commands.
const (
	CommandSend        CommandKind = iota // write the attempt to a connection
	CommandDrop                           // abandon the attempt
	CommandRespond                        // answer the client with Response
	CommandReject                         // answer that the request may be repeated safely, after RetryAfter
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

// String returns the kind's name for logs and tests.
func (k CommandKind) String() string { return commandNames[k] }

// Command is one step for the reader of a command queue, or the caller of Run, to
// carry out.
type Command struct {
	Kind          CommandKind
	Attempt       *Attempt  // of CommandSend, CommandDrop and CommandRespond
	TimedOut      bool      // of CommandDrop: the attempt timed out without a response
	Response      Response  // of CommandRespond
	RetryAfter    int64     // of CommandReject: microseconds from now; 0: not stated
	MaybeExecuted bool      // of CommandReject and CommandFail: an attempt may have been executed
	Endpoint      *Endpoint // of CommandHealthCheck
	Text          string    // of CommandLog: policy.LogEjected or policy.LogReadmitted
	EndpointID    string    // of CommandLog
	Backoff       int64     // of CommandLog: microseconds; 0: none
}

// Response is the response to a request. The engine passes it on, or calls Release
// if no client waits for it.
type Response interface{ Release() }

// post appends a command to the request's command queue or, after Detach, to the
// background commands.
func (r *Request) post(command Command) {
	if r.notify == nil {
		r.engine.postBackground(command)
		return
	}
	r.commandQueue = append(r.commandQueue, command)
	r.notify()
}

// TakeCommands returns the commands in the command queue and empties it.
func (r *Request) TakeCommands() []Command {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	return r.emptyCommandQueue()
}

// Detach declares that the command queue will not be read again: notify is not
// called any more, and later commands become background commands. Detach returns the
// commands that are left in the queue.
func (r *Request) Detach() []Command {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	r.notify = nil
	return r.emptyCommandQueue()
}

// emptyCommandQueue is called with the engine's lock held.
func (r *Request) emptyCommandQueue() []Command {
	commands := r.commandQueue
	r.commandQueue = nil
	return commands
}
