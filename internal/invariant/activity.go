package invariant

import "github.com/cespare/xxhash/v2"

// Activity is what a process did since its last report.
type Activity struct {
	Endpoints []EndpointUse `cbor:"1,keyasint,omitempty"`
	Responses []Response    `cbor:"2,keyasint,omitempty"`
	// DuplicateAttempts counts attempts of requests that are not idempotent beside an
	// attempt that may have been executed.
	DuplicateAttempts int `cbor:"3,keyasint,omitempty"`
	Dropped           int `cbor:"4,keyasint,omitempty"` // records beyond the bounds
}

// EndpointUse sums up the attempts to an endpoint.
type EndpointUse struct {
	_                 struct{} `cbor:",toarray"`
	Endpoint          string
	LastSentMicros    int64   // last attempt to it, Unix microseconds; 0: none
	LastSourcedMicros int64   // last attempt that named it as the source of a fill, Unix microseconds; 0: none
	WorkMicros        float64 // time that it takes to send the responses of all of them, as estimated; 0: unknown
}

// Response is a response to a read.
type Response struct {
	_            struct{} `cbor:",toarray"`
	Object       uint64   // hash of its name
	Group        int64
	SentMicros   int64 // when its attempt was sent, Unix microseconds
	IssuedMicros int64 // when the origin issued the copy, Unix microseconds
}

// hashObject is never 0, which stands for a group in a purge.
func hashObject(object string) uint64 { return max(xxhash.Sum64String(object), 1) }
