package simfleet

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/membership"
)

// datagramOverhead is the size of a datagram's version and authentication tag in bytes. IP and UDP are not counted.
const datagramOverhead = 17

// Send sends messages that a router's detector has returned outside of Tick and Receive, for instance when the router
// leaves.
func (f *Fleet) Send(i int, out []membership.Outbound) { f.send(f.Hosts[i], out) }

// send encodes messages and transmits them over the network. A message to an unknown name counts as sent and is
// dropped.
func (f *Fleet) send(from *Host, out []membership.Outbound) {
	for _, outbound := range out {
		if f.BeforeSend != nil {
			f.BeforeSend(from, outbound.Message)
		}
		body, err := cbor.Marshal(outbound.Message)
		if err != nil {
			panic(fmt.Errorf("encode a message from %s to %s: %w", from.Name, outbound.To, err)) // all its types can be encoded
		}
		size := len(body) + datagramOverhead
		from.SentBytes += int64(size)
		from.SentMessages++
		to := f.byName[outbound.To]
		if to == nil {
			continue
		}
		for _, at := range f.Network.Transmit(f.Now, from.ID, to.ID, size) {
			f.Schedule(at, func() { f.arrive(to, body, size) })
		}
	}
}

// arrive handles the arrival of a datagram at a router. Each receiver decodes its own copy of the message, as on a
// real network.
func (f *Fleet) arrive(to *Host, body []byte, size int) {
	if to.Detector == nil {
		return
	}
	to.ReceivedBytes += int64(size)
	f.whenRunning(to, func() {
		var msg membership.Message
		if err := cbor.Unmarshal(body, &msg); err != nil {
			panic(fmt.Errorf("decode a message of %d bytes at %s: %w", len(body), to.Name, err)) // send has encoded it
		}
		f.receive(to, &msg)
	})
}

// receive passes a message to a router's detector, and the payloads that the detector returns to the payload handler.
func (f *Fleet) receive(host *Host, msg *membership.Message) {
	node, isNode := host.Detector.(*membership.Node)
	if !isNode || f.Payloads == nil {
		f.send(host, host.Detector.Receive(f.Now, netip.AddrPort{}, msg))
		return
	}
	node.SetGossipDigest(f.Payloads.Digest(host))
	f.send(host, node.Receive(f.Now, netip.AddrPort{}, msg))
	for _, payload := range node.Payloads() {
		for _, body := range f.Payloads.HandlePayload(host, payload) {
			f.send(host, node.SendPayload(payload.From, body))
		}
	}
}
