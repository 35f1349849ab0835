// Package upgradeagent is the router process's side of a change: the connection to its
// supervisor, the serving lock, and the carrying out of what upgrade.Agent decides.
//
// The supervisor starts the process with the connection and the listening sockets as
// inherited descriptors. When the supervisor dies, the Agent goes on and connects to
// the next one by the socket in the supervisor's folder, to which it gives the
// listening sockets back.
package upgradeagent
