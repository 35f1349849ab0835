package membership

// Wrong switches a guard off by its name.
func (s Settings) Wrong(name string) Settings {
	switch name {
	case "no incarnations":
		s.wrong.noIncarnations = true
	case "no refuting":
		s.wrong.noRefuting = true
	case "one witness":
		s.wrong.oneWitness = true
	case "no bound":
		s.wrong.noBound = true
	case "wakes talking":
		s.wrong.wakesTalking = true
	case "takes replays":
		s.wrong.takesReplays = true
	}
	return s
}

// Sizes are those of all that a node keeps.
func (n *Node) Sizes() (members, asked, relayed, hot, chunk int) {
	return len(n.members), len(n.asked), len(n.relayed), len(n.hot), len(n.chunk)
}
