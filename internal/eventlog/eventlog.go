// Package eventlog holds the lines of a run's record: what was asked, sent, run and
// answered, by which the referee judges.
package eventlog

// Entry is one line of the record. At is in microseconds from the start. Kinds:
//
//	taken       a router has a client's request whole
//	sent        it sends a hop; came: that has come to its server; ran: its work
//	            began, so that it may have its effect; end: its end came back
//	carried     it was handed over by the router that Hop names
//	refused     its machine refused the connection: not taken after all
//	final       the router's answer; left: the client's time was over without one
//	listed      the board will tell at Until; told: a router was told of a server
//	purged      an editor's purge; told_purge: a router was told of it
//	started, down, fell, stopped   of servers; router_down, router_up,
//	            router_stopped, router_woken   of routers
//	crashed     a process of a kept router was killed, another one serves
//	trouble     of the script
type Entry struct {
	At       int64
	Kind     string
	Router   int     `json:",omitempty"`
	Txn      string  `json:",omitempty"`
	Rule     string  `json:",omitempty"`
	Hop      int     `json:",omitempty"`
	Server   string  `json:",omitempty"`
	Source   string  `json:",omitempty"`
	Object   string  `json:",omitempty"`
	Group    int64   `json:",omitempty"`
	Outcome  string  `json:",omitempty"`
	State    string  `json:",omitempty"`
	Deadline int64   `json:",omitempty"`
	Issued   int64   `json:",omitempty"`
	Until    int64   `json:",omitempty"`
	Work     float64 `json:",omitempty"`
}
