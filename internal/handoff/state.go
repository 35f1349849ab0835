package handoff

import (
	"quilldoor/internal/membership"
	"quilldoor/internal/policy"
)

// State is what a router process hands over to its successor.
type State struct {
	Revision   int64                    `cbor:"1,keyasint,omitempty"` // of the endpoint list, as discovery numbers it
	Endpoints  []Endpoint               `cbor:"2,keyasint,omitempty"` // the whole list
	Learned    *policy.Snapshot         `cbor:"3,keyasint,omitempty"` // nil: none
	Membership *membership.HandoffState `cbor:"4,keyasint,omitempty"` // nil: the process is not a member
	Purges     []Purge                  `cbor:"5,keyasint,omitempty"` // those that some cache may not have applied yet
	Executed   []uint64                 `cbor:"6,keyasint,omitempty"` // ids of requests that may have been executed and must not be again
}

// Endpoint is an entry of the endpoint list. Its fields mean the same as in discovery.
type Endpoint struct {
	ID        string               `cbor:"1,keyasint"`
	Zone      string               `cbor:"2,keyasint,omitempty"`
	Kind      string               `cbor:"3,keyasint,omitempty"`
	Cell      int                  `cbor:"4,keyasint,omitempty"`
	State     policy.EndpointState `cbor:"5,keyasint"`
	Weight    float64              `cbor:"6,keyasint,omitempty"`
	StartedAt int64                `cbor:"7,keyasint,omitempty"` // when its process started, Unix microseconds
	Address   string               `cbor:"8,keyasint"`           // host:port
}

// Purge is a purge of an object, or of a group of objects.
type Purge struct {
	_      struct{} `cbor:",toarray"`
	Object string   // "": the whole group
	Group  int64
	At     int64 // time of the purge, Unix microseconds
}
