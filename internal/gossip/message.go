package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/cborcodec"
	"quilldoor/internal/policy"
)

// Payload is a message between two replicas: a request, or a part of the response to it. One of its fields is set.
type Payload struct {
	Request  *DigestRequest `cbor:"1,keyasint,omitempty"`
	Response *StateResponse `cbor:"2,keyasint,omitempty"`
}

// DigestRequest requests the content of the buckets whose digests differ from Digests.
type DigestRequest struct {
	Digests []uint32 `cbor:"1,keyasint"`           // one for each bucket; a request with more or fewer is rejected
	Claimed []string `cbor:"2,keyasint,omitempty"` // ids of endpoints for which the sender has accepted a claim
}

// StateResponse is a part of a response.
type StateResponse struct {
	Endpoints []EndpointReport `cbor:"1,keyasint,omitempty"`
	Purges    []PurgeReport    `cbor:"2,keyasint,omitempty"`
	Unlisted  []string         `cbor:"3,keyasint,omitempty"` // ids in Claimed that the sender's source does not list
}

// EndpointReport is an endpoint as announced by the sender's source.
type EndpointReport struct {
	ID        string               `cbor:"1,keyasint"`
	Address   string               `cbor:"2,keyasint,omitempty"`
	Zone      string               `cbor:"3,keyasint,omitempty"`
	Kind      string               `cbor:"4,keyasint,omitempty"`
	Cell      int                  `cbor:"5,keyasint,omitempty"`
	State     policy.EndpointState `cbor:"6,keyasint"`
	Weight    float64              `cbor:"7,keyasint,omitempty"`
	StartedAt int64                `cbor:"8,keyasint,omitempty"` // Unix microseconds
}

// PurgeReport is a purge in a response.
type PurgeReport struct {
	Object string `cbor:"1,keyasint,omitempty"` // "": the purge covers Group
	Group  int64  `cbor:"2,keyasint,omitempty"` // used if Object is ""
	At     int64  `cbor:"3,keyasint"`           // Unix microseconds
}

func newEndpointReport(e Endpoint) EndpointReport {
	return EndpointReport{
		ID:        e.ID,
		Address:   e.Address,
		Zone:      e.Zone,
		Kind:      e.Kind,
		Cell:      e.Cell,
		State:     e.State,
		Weight:    e.Weight,
		StartedAt: e.StartedAt,
	}
}

func (m *EndpointReport) endpoint() Endpoint {
	return Endpoint{
		Endpoint: policy.Endpoint{
			ID:        m.ID,
			Zone:      m.Zone,
			Kind:      m.Kind,
			Cell:      m.Cell,
			State:     m.State,
			Weight:    m.Weight,
			StartedAt: m.StartedAt,
		},
		Address: m.Address,
	}
}

func (m PurgeReport) purge() Purge { return Purge(m) }

// payloadDecoder limits the size of a decoded payload.
var payloadDecoder = cborcodec.NewStrictDecoder(cborcodec.Limits{
	MaxArrayElements: 1024, MaxMapPairs: 16, MaxNestedLevels: 6,
})

// Encode returns the encoded payload.
func (p *Payload) Encode() []byte {
	b, err := cbor.Marshal(p)
	if err != nil {
		panic(fmt.Errorf("encode gossip payload: %w", err)) // unreachable: all field types can be encoded
	}
	return b
}

// Decode decodes a payload. It returns nil if the payload is malformed, has neither a request nor a response, or has a
// list of more than 1024 elements.
func Decode(b []byte) *Payload {
	var p Payload
	if payloadDecoder.Unmarshal(b, &p) != nil || p.Request == nil && p.Response == nil {
		return nil
	}
	return &p
}
