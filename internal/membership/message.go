package membership

import "net/netip"

// Kind of a message. It says which fields are set beside Kind, Sequence, Sender, To and the digests.
type Kind uint8

// Kinds of messages; their numbers are sent. KindHello and KindQuery are for a name, whatever its instance: as they
// could be replays, they carry no updates and nothing that they say is applied. A bucket is one of the 16 parts into
// which a view is split by a hash of the members' names, so that only parts which differ are sent.
const (
	KindHello          Kind = 1 + iota // asks to be admitted; answered by KindWelcome
	KindWelcome                        // RequestID is that of the hello
	KindPing                           // answered by KindAck
	KindAck                            // RequestID is that of the ping; Target names a member that was pinged indirectly
	KindIndirectPing                   // asks the receiver to ping Target for the sender
	KindNack                           // RequestID is that of the indirect ping: Target gave no answer, the relay is there
	KindDigestExchange                 // BucketDigests of the sender's view; answered by KindStateExchange
	KindStateExchange                  // Updates of the members in the buckets that differ
	KindQuery                          // of a tool; answered by KindQueryResponse, to where it came from
	KindQueryResponse                  // View, a page of it
	KindPayload                        // Body, for another subsystem
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

// carriesPayload reports whether messages of a kind are handed to Payloads.
func (k Kind) carriesPayload() bool { return k == KindPing || k == KindAck || k == KindPayload }

// Message is what nodes send each other. A receiver ignores fields that a newer version has added; those that an older
// one lacks are zero.
type Message struct {
	Kind          Kind       `cbor:"1,keyasint"`
	Sequence      uint64     `cbor:"2,keyasint,omitempty"`  // numbers the sender's messages to anybody, from 1
	RequestID     uint32     `cbor:"3,keyasint,omitempty"`  // the same in a request and its answer
	Sender        Update     `cbor:"4,keyasint"`            // what the sender says of itself
	To            string     `cbor:"5,keyasint"`            // name of the receiver
	ToInstance    InstanceID `cbor:"6,keyasint,omitempty"`  // the receiver's, in all kinds but those for a name
	Target        string     `cbor:"7,keyasint,omitempty"`  // name of the member that an indirect ping is for
	ViewDigest    uint64     `cbor:"8,keyasint,omitempty"`  // of the sender's view
	BucketDigests []uint32   `cbor:"9,keyasint,omitempty"`  // of KindDigestExchange: one for each bucket
	Updates       []Update   `cbor:"10,keyasint,omitempty"` // of other members
	View          *View      `cbor:"11,keyasint,omitempty"` // of KindQueryResponse
	GossipDigest  uint32     `cbor:"12,keyasint,omitempty"` // of the sender's replica in package gossip
	Body          []byte     `cbor:"13,keyasint,omitempty"` // of KindPayload
}

// Payload is what a message carries for another subsystem.
type Payload struct {
	From   string // name of the sender
	Digest uint32 // of the sender's replica in package gossip, as its SetGossipDigest set it
	Body   []byte // as given to its SendPayload; nil: the message, a ping or an acknowledgement, has the digest alone
}

// Update is what is said of one router. Fields that are empty say nothing: most messages leave out what the receiver
// knows.
type Update struct {
	Name        string         `cbor:"1,keyasint"`
	Zone        string         `cbor:"2,keyasint,omitempty"`
	Addr        netip.AddrPort `cbor:"3,keyasint,omitempty"`
	ID          InstanceID     `cbor:"4,keyasint,omitempty"` // of its instance
	Incarnation uint32         `cbor:"5,keyasint,omitempty"` // the later one of an instance counts; only the router itself raises it
	State       State          `cbor:"6,keyasint"`
	SuspectedBy []uint16       `cbor:"7,keyasint,omitempty"` // shortened names of the members that suspect it
	Process     *ProcessInfo   `cbor:"8,keyasint,omitempty"` // nil: not told, as by earlier versions
}

// ProcessInfo describes the process of a router that runs under a supervisor. Program and Settings are digests: routers
// with the same program and the same settings, apart from their names and addresses, have the same.
type ProcessInfo struct {
	_          struct{} `cbor:",toarray"`
	Generation uint32   // from 1: each change of program or settings takes a new number, a restart keeps it
	Program    uint32   // digest of the program's file
	Settings   uint32   // digest of its settings
}

// Bounds of messages.
const (
	maxNameBytes = 64
	maxUpdates   = 200
	// messageOverheadBytes is about the size of a message without updates, its authentication included, with names of
	// a few letters.
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

// size estimates the bytes that an update takes in a message.
func (u *Update) size() int {
	const (
		fixedBytes     = 28
		zoneBytes      = 2 // beside the text
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
