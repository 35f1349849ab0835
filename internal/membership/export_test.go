package membership

// Safeguards that WithoutSafeguard turns off, by the names of the tests that need them.
var safeguardsByName = map[string]safeguard{
	"incarnation order": safeguardIncarnationOrder,
	"refutation":        safeguardRefutation,
	"confirmations":     safeguardConfirmations,
	"gossip bound":      safeguardGossipBound,
	"pause detection":   safeguardPauseDetection,
	"replay window":     safeguardReplayWindow,
}

// WithoutSafeguard turns a safeguard off; none for "".
func (s Settings) WithoutSafeguard(name string) Settings {
	if name == "" {
		return s
	}
	guard, ok := safeguardsByName[name]
	if !ok {
		panic("no safeguard " + name)
	}
	s.disabled = guard
	return s
}

// ListSizes returns the sizes of all lists that a node keeps.
func (n *Node) ListSizes() (members, pendingProbes, relayedProbes, gossipQueue, exchangeQueue int) {
	return len(n.members), len(n.pendingProbes), len(n.relayedProbes), len(n.gossipQueue), len(n.exchangeQueue)
}
