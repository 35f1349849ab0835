// Package supervisor runs a router in a separate process and changes its program and
// settings under load. It holds the listening sockets, starts a process for each
// generation of the router, passes the sockets and the predecessor's state to it, and
// monitors it. It handles no request itself.
//
// The state machine of package upgrade decides on each step; this package carries the
// steps out. All state belongs to the loop of Run. Other goroutines read connections, wait
// for processes and check settings. They change no state themselves, but queue functions
// that the loop calls.
//
// The supervisor's folder has the state file, the serving lock, the socket for router
// processes and tools, and for each generation that may still be needed a subfolder with
// its manifest and settings.
package supervisor
