// Package gossip replicates among the routers of a site what their discovery sources have announced: endpoints that
// drain or are gone, restarted endpoints, purges. A router whose own source is late or unreachable applies what the
// others report. A Replica does no I/O and reads no clock; its messages travel as payloads of package membership.
//
// Each source numbers its events anew for each router, so the numbers of two routers can't be compared. Two reports of
// an endpoint are ordered by what they say instead: a later start goes before an earlier one, and within one start
// gone before draining before active. Of two purges of the same key the later one goes before. The replica takes the
// join of all reports (a state-based CRDT; Shapiro and others 2011): in any order, late or repeated they give the same
// state, and it never goes backwards.
//
// What others report of an endpoint beyond the own source is a claim. It is applied once two other routers report the
// same (one, where fewer than two others are known). It holds until the own source catches up, or for 7 s after another
// router last reported the same state or a later one, or that its source does not list the endpoint. Purges are applied
// at once, on one report.
//
// Replicas compare digests. The state is split into 16 buckets by a hash of the endpoint ids and purge keys, each with
// a digest of its own; a replica whose digest differs asks for the buckets that differ and gets their content.
//
// The files:
//
//   - gossip.go: the replica, what its own source has announced, and its ticks
//   - claim.go: what other routers report of an endpoint, and when it is applied
//   - purge.go: purges
//   - exchange.go: digests, and the exchange of what differs
//   - message.go: the form of the messages
package gossip
