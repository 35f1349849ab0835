// Package rollout upgrades the program or configuration of a site's routers in stages,
// watches each stage, and pauses or rolls back the rollout if the new generation is worse.
//
// It is a replicated state machine among the routers that a Plan names. Each of them runs
// a Node. A State is decided once a majority has accepted it in one term, as in Paxos: a
// candidate collects promises for a new term (election.go), the leader proposes the
// successive states (leader.go, transitions.go), and each acceptor stores the latest state
// that it accepted (register.go). A leader acts only under a lease from a majority
// (lease.go). Followers poll the leader for the decided state and begin a change only on a
// fresh answer (follower.go). A router that lost its durable state takes no part until it
// has received the state of the others (recovery.go). Package canary (watch.go) and fixed
// limits (guardrails.go) decide whether the new generation is worse.
//
// The package does no I/O and has no clock. Times are microseconds of each router's own
// monotonic clock; times of two routers are never compared. The caller delivers messages,
// stores Durable before it sends the messages that a call returned, and carries out the
// Target.
package rollout
