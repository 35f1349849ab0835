package gossip

// safeguardsByName has the safeguards that WithoutSafeguard can turn off.
var safeguardsByName = map[string]safeguard{
	"confirmations": safeguardConfirmations,
	"order":         safeguardOrder,
	"expiry":        safeguardExpiry,
}

// WithoutSafeguard returns settings with the named safeguard turned off, or s itself for "".
func (s Settings) WithoutSafeguard(name string) Settings {
	if name == "" {
		return s
	}
	disabled, ok := safeguardsByName[name]
	if !ok {
		panic("unknown safeguard " + name)
	}
	s.disabled = disabled
	return s
}

// ListSizes returns the numbers of endpoints and purges that the replica holds.
func (r *Replica) ListSizes() (endpoints, purges int) { return len(r.endpoints), len(r.purges) }
