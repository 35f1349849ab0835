package simulation

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// Driver carries out what the world says. Calls come from Step, in order.
type Driver interface {
	Ask(a *Ask)                    // a client's request comes whole to its router
	Leave(router int, txn string)  // its client has gone
	End(router int, h *Hop, e End) // a hop's end comes to its router
	Told(router int, n Notice)     // the notice board tells
	Down(router int)               // killed outright
	Up(router int, known []Server) // started from nothing, with the list as it is
	Stop(router int)               // stands still; Wake: goes on as it was
	Wake(router int)
	Starve(router int, share float64) // of its CPU that others take; 0: none
	Note(e *Entry)                    // for the record: what the referee judges by
}

// Server is a line of the list.
type Server struct {
	policy.Endpoint
}

// Notice is one event of the board: servers, or a purge.
type Notice struct {
	Servers []Server
	Purge   bool
	Object  string // "": the group
	Group   int64
	At      int64 // of the purge
}

// End is how a hop ended, as the module words it.
type End struct {
	Outcome policy.Outcome
	Reason  policy.Reason
	Waited  int64
	Load    map[string]float64
	Issued  int64 // of the copy; 0: none
	SizeKB  float64
	Spoilt  bool // on sockets: an answer that can't be read
}

// Entry is one line of the record.
type Entry = eventlog.Entry
