// Package supervisor runs a router as a process of its own and changes its program and
// settings under load. It holds the listening sockets, starts generations of the router
// as processes, hands the sockets down, passes their state on, and monitors them. It
// handles no request itself.
//
// What is done when is decided by package upgrade; this package carries it out. All
// state belongs to the loop of Run. Goroutines that read connections, wait for processes
// or check settings put functions into its event queue and touch nothing themselves.
//
// In its folder it keeps the state file, the serving lock, the socket for router
// processes and tools, and a folder with the settings of each generation that may still
// be needed.
package supervisor
