package invariant

import "github.com/cespare/xxhash/v2"

// Activity is a process's report of its attempts and responses since the previous report.
type Activity struct {
	Endpoints []EndpointUse `cbor:"1,keyasint,omitempty"`
	Responses []Response    `cbor:"2,keyasint,omitempty"`
	// DuplicateAttempts counts attempts of requests that are not idempotent, sent beside
	// another attempt of the same request that may have been executed.
	DuplicateAttempts int `cbor:"3,keyasint,omitempty"`
	Dropped           int `cbor:"4,keyasint,omitempty"` // records that exceeded the bounds of a report
}

// EndpointUse sums up the attempts to an endpoint.
type EndpointUse struct {
	_                 struct{} `cbor:",toarray"`
	Endpoint          string
	LastSentMicros    int64   // last attempt to it, Unix microseconds; 0: none
	LastSourcedMicros int64   // last attempt that named it as the source of a fill, Unix microseconds; 0: none
	WorkMicros        float64 // estimated time to send the responses of all these attempts; 0: unknown
}

// Response is a response to a read.
type Response struct {
	_            struct{} `cbor:",toarray"`
	Object       uint64   // hash of the object's name
	Group        int64
	SentMicros   int64 // when its attempt was sent, Unix microseconds
	IssuedMicros int64 // when the origin issued the copy, Unix microseconds
}

// hashObject returns the hash of an object's name. It is never 0, which marks a purge of a
// whole group.
func hashObject(object string) uint64 { return max(xxhash.Sum64String(object), 1) }
