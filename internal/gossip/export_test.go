package gossip

// Wrong switches a guard off by its name.
func (s Settings) Wrong(name string) Settings {
	s.wrong = wrong{oneWitness: name == "one witness", backwards: name == "backwards", forever: name == "forever"}
	return s
}

// Sizes are those of all that a book keeps.
func (b *Replica) Sizes() (servers, purges int) { return len(b.servers), len(b.purges) }
