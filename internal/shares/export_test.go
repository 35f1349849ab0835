package shares

// Wrong switches a guard off by its name.
func (s Settings) Wrong(name string) Settings {
	s.wrong = wrong{countsLiving: name == "counts the living", risesEarly: name == "rises early", remembers: name == "remembers",
		noDrift: name == "no drift"}
	return s
}
