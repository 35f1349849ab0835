// Package rollout carries a change of program or configuration through the routers of
// a site in stages, watches each stage, and stops or rolls back.
//
// It is a replicated state machine among the routers that a Plan names. Each has a Node.
// A State is decided once a majority has accepted it in one term, as in Paxos: a
// candidate collects promises in a term of its own (election.go), the leader proposes
// the states that follow (leader.go, transitions.go), and acceptors keep the latest one
// accepted (register.go). A leader acts only under a lease from a majority (lease.go).
// The others poll it for the decided state and begin to change only on a fresh answer
// (follower.go). A router that lost its durable state takes no part until the others
// have told it theirs (recovery.go). Whether a stage is worse is decided by package
// canary (watch.go) and by fixed limits (guardrails.go).
//
// The package does no I/O and has no clock. Times are microseconds of each router's own
// steady clock, and two routers' clocks are never compared. The caller delivers messages,
// stores Durable before it sends what a call returned, and carries out the Target.
package rollout
