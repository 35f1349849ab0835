package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/cborcodec"
	"quilldoor/internal/policy"
)

// Payload is what one replica sends another: a request or a part of the response. One of the two is set.
type Payload struct {
	Request       *DigestRequest `cbor:"1,keyasint,omitempty"`
	StateExchange *StateExchange `cbor:"2,keyasint,omitempty"`
}

// DigestRequest asks for the state of the buckets whose digests differ from these.
type DigestRequest struct {
	Digests []uint32 `cbor:"1,keyasint"`           // one for each bucket; another number of them is rejected
	Claimed []string `cbor:"2,keyasint,omitempty"` // endpoints of which the sender holds accepted claims
}

// StateExchange is a part of a response.
type StateExchange struct {
	Endpoints []EndpointReport `cbor:"1,keyasint,omitempty"`
	Purges    []PurgeReport    `cbor:"2,keyasint,omitempty"`
	Unlisted  []string         `cbor:"3,keyasint,omitempty"` // claimed endpoints that the sender's source does not list
}

// EndpointReport is an endpoint as the source of the sender has announced it.
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

// PurgeReport is a purge in a message.
type PurgeReport struct {
	Object string `cbor:"1,keyasint,omitempty"` // "": the whole group
	Group  int64  `cbor:"2,keyasint,omitempty"` // where Object is ""
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

// decoder bounds what a payload may hold.
var decoder = cborcodec.NewStrictDecoder(cborcodec.Limits{
	MaxArrayElements: 1024, MaxMapPairs: 16, MaxNestedLevels: 6,
})

// Encode returns the payload's bytes.
func (p *Payload) Encode() []byte {
	b, err := cbor.Marshal(p)
	if err != nil {
		panic(fmt.Errorf("encode gossip payload: %w", err)) // its types can all be encoded
	}
	return b
}

// Decode reads a payload; nil: it is malformed, has neither a request nor a response, or a list of more than 1024.
func Decode(b []byte) *Payload {
	var p Payload
	if decoder.Unmarshal(b, &p) != nil || p.Request == nil && p.StateExchange == nil {
		return nil
	}
	return &p
}
