package membership

import "net/netip"

// Kind is the kind of a message. It determines which fields are set in addition to Kind, Sequence, Sender, To and the
// digests.
type Kind uint8

// Kinds of messages. Their numbers are sent. KindHello and KindQuery are addressed to any instance of a name: as they
// could be replays, they carry no updates and none of their contents is applied. A bucket is one of the 16 parts into
// which a view is split by a hash of the members' names, so that only the parts that differ are sent.
const (
	KindHello          Kind = 1 + iota // requests admission; answered by KindWelcome
	KindWelcome                        // RequestID is that of the hello
	KindPing                           // answered by KindAck
	KindAck                            // RequestID is that of the ping; Target names a member that was pinged indirectly
	KindIndirectPing                   // requests the receiver to ping Target for the sender
	KindNack                           // RequestID is that of the indirect ping, whose target did not answer the relay
	KindDigestExchange                 // BucketDigests of the sender's view; answered by KindStateExchange
	KindStateExchange                  // Updates about the members in the buckets that differ
	KindQuery                          // sent by a tool; answered by KindQueryResponse to its source address
	KindQueryResponse                  // View holds one page of the view
	KindPayload                        // Body is for another subsystem
	lastKind           = KindPayload
)

// carriesUpdates reports whether updates are piggybacked on messages of a kind.
func (k Kind) carriesUpdates() bool {
	switch k {
	case KindWelcome, KindPing, KindAck, KindIndirectPing, KindNack:
		return true
	}
	return false
}

// carriesPayload reports whether messages of a kind are returned by Payloads.
func (k Kind) carriesPayload() bool { return k == KindPing || k == KindAck || k == KindPayload }

// Message is a message between nodes, or between a tool and a node. A receiver ignores fields that a newer version has
// added; fields that an older version lacks are zero.
type Message struct {
	Kind          Kind       `cbor:"1,keyasint"`
	Sequence      uint64     `cbor:"2,keyasint,omitempty"`  // counts the sender's messages to all receivers, from 1
	RequestID     uint32     `cbor:"3,keyasint,omitempty"`  // the same in a request and its response
	Sender        Update     `cbor:"4,keyasint"`            // the sender's update about itself
	To            string     `cbor:"5,keyasint"`            // name of the receiver
	ToInstance    InstanceID `cbor:"6,keyasint,omitempty"`  // instance of the receiver; not in hellos, queries and query responses
	Target        string     `cbor:"7,keyasint,omitempty"`  // name of the member that is pinged indirectly
	ViewDigest    uint64     `cbor:"8,keyasint,omitempty"`  // digest of the sender's view
	BucketDigests []uint32   `cbor:"9,keyasint,omitempty"`  // in KindDigestExchange: one for each bucket
	Updates       []Update   `cbor:"10,keyasint,omitempty"` // about other members
	View          *View      `cbor:"11,keyasint,omitempty"` // in KindQueryResponse
	GossipDigest  uint32     `cbor:"12,keyasint,omitempty"` // digest of the sender's replica in package gossip
	Body          []byte     `cbor:"13,keyasint,omitempty"` // in KindPayload
}

// Payload is the part of a message for another subsystem.
type Payload struct {
	From   string // name of the sender
	Digest uint32 // digest of the sender's replica in package gossip, as passed to its SetGossipDigest
	Body   []byte // as passed to its SendPayload; nil: the message is a ping or an acknowledgement, with the digest alone
}

// Update is a report about one router. An empty field means no information: most messages leave out the fields that
// the receiver already holds.
type Update struct {
	Name        string         `cbor:"1,keyasint"`
	Zone        string         `cbor:"2,keyasint,omitempty"`
	Addr        netip.AddrPort `cbor:"3,keyasint,omitempty"`
	ID          InstanceID     `cbor:"4,keyasint,omitempty"` // identifies its instance
	Incarnation uint32         `cbor:"5,keyasint,omitempty"` // orders the updates about an instance; only the router itself raises it
	State       State          `cbor:"6,keyasint"`
	SuspectedBy []uint16       `cbor:"7,keyasint,omitempty"` // hashes of the names of the members that suspect it
	Process     *ProcessInfo   `cbor:"8,keyasint,omitempty"` // nil: no information, as from earlier versions
}

// ProcessInfo describes the process of a router that runs under a supervisor. Program and Settings are digests, which
// are equal for routers with the same program and the same settings apart from their names and addresses.
type ProcessInfo struct {
	_          struct{} `cbor:",toarray"`
	Generation uint32   // counts from 1: each change of program or settings has a new number, a restart keeps the number
	Program    uint32   // digest of the program's file
	Settings   uint32   // digest of its settings
}

// Bounds of messages.
const (
	maxNameBytes = 64
	maxUpdates   = 200
	// messageOverheadBytes is the approximate size of a message without updates, its authentication included, with
	// names of a few letters.
	messageOverheadBytes = 110
)

// valid reports whether a message is within bounds.
func (msg *Message) valid() bool {
	if msg.Kind == 0 || msg.Kind > lastKind || !msg.Sender.valid() {
		return false
	}
	if len(msg.To) > maxNameBytes || len(msg.Target) > maxNameBytes {
		return false
	}
	if len(msg.Updates) > maxUpdates || len(msg.BucketDigests) > digestBuckets {
		return false
	}
	for i := range msg.Updates {
		if !msg.Updates[i].valid() {
			return false
		}
	}
	return true
}

func (u *Update) valid() bool {
	if u.Name == "" || len(u.Name) > maxNameBytes || len(u.Zone) > maxNameBytes {
		return false
	}
	return u.State > StateUnknown && u.State < StateNameConflict && len(u.SuspectedBy) <= maxConfirmations
}

// size estimates the encoded size of an update in bytes.
func (u *Update) size() int {
	const (
		fixedBytes     = 28
		zoneBytes      = 2 // in addition to the zone's name
		addrBytes      = 9
		confirmerBytes = 3
		processBytes   = 18
	)
	size := fixedBytes + len(u.Name) + confirmerBytes*len(u.SuspectedBy)
	if u.Zone != "" {
		size += zoneBytes + len(u.Zone)
	}
	if u.Addr.IsValid() {
		size += addrBytes
	}
	if u.Process != nil {
		size += processBytes
	}
	return size
}
