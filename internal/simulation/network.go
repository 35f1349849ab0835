package simulation

// crossing brings an answer from a trunk into the office of its router, at a
// client's flow at the most.
func (s *server) crossing(h *Hop, done func()) {
	w := s.w
	w.Result.filled(w, h.SizeKB, s.kind == ledger)
	left := 3
	part := func() {
		if left--; left == 0 && h.state != ended {
			done()
		}
	}
	w.after(int64(h.SizeKB/w.set.Fleet.FlowKBPerS*1e6), part)
	s.out.add(h.SizeKB, part)
	w.links[w.routers[h.Router].office].add(h.SizeKB, part)
}

// link makes a link of so many KB a second.
func (w *World) link(kbPerS float64) *share {
	return &share{w: w, total: kbPerS / 1e6, most: kbPerS / 1e6}
}

// away is the way from an office to a server, one way, in microseconds.
func (w *World) away(office int, s *server) int64 {
	f := &w.set.Fleet
	if s.office >= 0 {
		return int64(f.LocalMS * 500)
	}
	return int64((f.TrunkMS + f.FarMS*float64(w.trunks(office, s))) * 500)
}

// trunks is how many further trunks lie between an office and a parent or the ledger.
func (w *World) trunks(office int, s *server) int {
	d := w.set.Fleet.Trunk(office) - s.trunk
	return max(d, -d)
}
