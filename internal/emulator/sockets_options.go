package emulator

import (
	"context"
	"io"
)

// SocketOptions are the options of a run on sockets that concern its router processes.
type SocketOptions struct {
	// Program is the path of the router's program; "": quilldoor in the folder of the running
	// program.
	Program string
	// Listen is the first router's address for clients; "" or port 0: any address on loopback.
	Listen string
	// Ready, if set, is called with the routers' addresses for clients once all routers are ready.
	Ready func([]string)
	// Log receives the routers' logs; nil: only the end of each log is kept, for the report of a
	// crash.
	Log io.Writer
	// AcceptForeignRequests makes the emulated servers also serve requests that are not the scenario's.
	AcceptForeignRequests bool
	// Earlier is the program of every second router: an earlier version, which has no
	// supervisor. "": Program.
	Earlier string
	// SlowDiscovery makes each router's discovery service slow, in a way that is drawn by the seed.
	// It gets each event at once; the scenario's late_board says when routers count as notified.
	SlowDiscovery bool
	// Drive, if set, is called in a goroutine of its own once all routers are ready, for instance
	// to upgrade supervised routers. The run continues until Drive returns, and an error of Drive
	// ends it.
	Drive func(context.Context, *RunningRouters) error
	// EndWithDrive stops the arrival of clients once Drive has returned.
	EndWithDrive bool
}
