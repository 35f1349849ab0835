package membership

// safeguardsByName holds the safeguards that WithoutSafeguard can turn off, by the names of their tests.
var safeguardsByName = map[string]safeguard{
	"incarnation order": safeguardIncarnationOrder,
	"refutation":        safeguardRefutation,
	"confirmations":     safeguardConfirmations,
	"gossip bound":      safeguardGossipBound,
	"pause detection":   safeguardPauseDetection,
	"replay window":     safeguardReplayWindow,
}

// WithoutSafeguard returns the settings with the named safeguard turned off, or unchanged for an empty name.
func (s Settings) WithoutSafeguard(name string) Settings {
	if name == "" {
		return s
	}
	selected, ok := safeguardsByName[name]
	if !ok {
		panic("unknown safeguard " + name)
	}
	s.disabled = selected
	return s
}

// ListSizes returns the sizes of a node's map of members and of its lists.
func (n *Node) ListSizes() (members, pendingProbes, relayedProbes, gossipQueue, exchangeQueue int) {
	return len(n.members), len(n.pendingProbes), len(n.relayedProbes), len(n.gossipQueue), len(n.exchangeQueue)
}
