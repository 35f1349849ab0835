// Package gateway connects this router to routers of other sites. It carries out the
// decisions of peerpolicy on connections that speak the protocol of peerproto.
//
// The router dials each configured peer and forwards requests on that connection. Requests
// that a peer forwards arrive on the connection that the peer dialled. The first frame that
// violates the protocol ends its connection.
//
// One lock (Gateway.mu) guards the controller, the requests of every link and the forwarded
// calls. It is never held during I/O: applyActions collects the controller's actions under
// the lock and carries them out after releasing it.
package gateway
