package gossip

// Safeguards that WithoutSafeguard turns off, by the names of the tests that need them.
var safeguardsByName = map[string]safeguard{
	"confirmations": safeguardConfirmations,
	"order":         safeguardOrder,
	"expiry":        safeguardExpiry,
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

// ListSizes returns the sizes of all lists that a replica keeps.
func (r *Replica) ListSizes() (endpoints, purges int) { return len(r.endpoints), len(r.purges) }
