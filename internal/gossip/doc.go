// Package gossip replicates the announcements of the discovery sources among the routers of a site: endpoints that
// drain or are gone, restarted endpoints, and purges. A router whose local source is late or unreachable applies the
// reports of the other routers. A Replica does no I/O and reads no clock; its messages are sent as payloads of package
// membership.
//
// Each source numbers its events separately for each router, so the numbers of two routers can't be compared. Two
// reports of an endpoint are ordered by their content instead: a later start supersedes an earlier one, and within one
// start gone supersedes draining, and draining supersedes active. Of two purges with the same key the later one
// supersedes the other. The replica takes the join of all reports (a state-based CRDT; Shapiro and others 2011): the
// resulting state does not depend on their order, delay or repetition, and it never goes backwards.
//
// A claim is a state of an endpoint that other routers report and that is later than the one that the local source has
// announced. It is applied once two other routers have reported the same state (one, where fewer than two others are
// known). A claim ends when the local source catches up, or 7 s after the last report that supports it. A report
// supports a claim if it has the same state or a later one, or says that the reporting router's source does not list
// the endpoint. Purges are applied on the first report.
//
// Replicas compare digests. The state is split into 16 buckets by a hash of the endpoint ids and purge keys, and each
// bucket has a digest. A replica that receives a different digest requests the buckets that differ.
//
// The files:
//
//   - gossip.go: the replica, the announcements of its local source, and its ticks
//   - claim.go: the reports of other routers about an endpoint, and when they are applied
//   - purge.go: purges
//   - exchange.go: digests, requests and responses
//   - message.go: the encoding of the messages
package gossip
