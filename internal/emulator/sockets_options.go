package emulator

import (
	"context"
	"io"
)

// SocketOptions are the options of a run on sockets that concern its router processes.
type SocketOptions struct {
	// Program is the router's program; "": quilldoor beside the running program.
	Program string
	// Listen is the first router's address for clients; "" or port 0: any address on loopback.
	Listen string
	// Ready is called with the routers' addresses once all are ready; nil: nothing is.
	Ready func([]string)
	// Log receives what routers log; nil: only the end is kept, for the report of a crash.
	Log io.Writer
	// AcceptForeignRequests lets the emulated servers also serve requests that are not the scenario's own.
	AcceptForeignRequests bool
	// Earlier is the program of every second router: an earlier version, which has no
	// supervisor. "": Program.
	Earlier string
	// Drive is called beside the run where the scenario's routers are supervised, once all
	// are ready. The run goes on until it returns. Its error ends the run.
	Drive func(context.Context, *RunningRouters) error
	// EndWithDrive stops the arrival of clients once Drive has returned.
	EndWithDrive bool
}
