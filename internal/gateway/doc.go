// Package gateway joins this router to routers of another site: it carries out on
// connections what peerpolicy decides, in the frames of peerproto.
//
// The router dials each peer and forwards requests on that connection; requests that a
// peer forwards come on the connection that the peer dialled. A connection ends at the
// first frame that breaks the protocol.
//
// One lock (Gateway.mu) guards the controller, the links' requests and the calls. It is
// never held over I/O: what the controller decides is collected under the lock and done
// after it is given back (applyActions).
package gateway
