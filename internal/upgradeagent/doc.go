// Package upgradeagent is the router process's side of an upgrade: the connection to its
// supervisor, the serving lock, and the execution of the effects that upgrade.Agent
// decides on.
//
// The supervisor starts the process with the connection and the listening sockets as
// inherited descriptors. When the supervisor is lost, upgrade.Agent decides whether the
// process ends as well. A process that keeps running connects to the next supervisor
// through the socket in the supervisor's folder, and sends it the listening sockets.
package upgradeagent
