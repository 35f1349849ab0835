package simulation

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

func (w *World) newLedger() *server {
	f := &w.set.Fleet
	kb := f.OriginLinkKBPerS
	if kb == 0 { // what all offices' links could ask for, if half of it is at parents
		kb = f.OfficeLinkKBPerS() * float64(f.Offices)
	}
	s := &server{
		w: w, uid: "ledger", kind: ledger, office: -1, trunk: 0, weight: float64(f.OriginWorkers), up: true,
		listed: policy.EndpointActive, slow: 1, out: w.link(kb),
	}
	s.cpu = &share{w: w, total: float64(f.OriginWorkers), most: 1}
	w.servers[s.uid] = s
	return s
}

// takes tells whether the ledger takes one thing more; pushed over, it stops.
func (s *server) takes() bool {
	w, f := s.w, &s.w.set.Fleet
	const window = 3 * second
	for len(s.asked) > 0 && s.asked[0] <= w.now-window {
		s.asked = s.asked[1:]
	}
	s.asked = append(s.asked, w.now)
	able := float64(f.OriginWorkers) / (f.OriginServiceMS / 1000) / s.slow
	if !s.stopped && float64(len(s.asked)) > f.OriginStopMultiple*able*3 {
		s.stopped = true
		w.Result.LedgerStops++
		w.note(Entry{Kind: eventlog.KindStopped, Endpoint: s.uid})
		s.power()
		w.after(int64(f.OriginStopS*1e6), func() {
			s.stopped = false
			s.asked = nil
			s.power()
		})
	}
	places := 4 * f.OriginWorkers // at work and waiting
	return !s.stopped && float64(len(s.cpu.jobs)) < f.OriginRejectShare*float64(places)
}

// crowd makes the ledger's work longer the fuller it is.
func (s *server) effort() float64 {
	f := &s.w.set.Fleet
	full := float64(len(s.cpu.jobs)) / float64(4*f.OriginWorkers)
	return f.OriginServiceMS * 1000 * (1 + 0.5*full) * (0.5 + s.w.dice.ExpFloat64()*0.5)
}

// read makes an object for a fill.
func (s *server) read(done func(issued int64, note policy.Reason)) {
	if !s.up || !s.takes() {
		done(0, policy.ReasonUpstreamBusy)
		return
	}
	s.cpu.add(s.effort(), func() { done(s.w.now, policy.ReasonMissOrigin) })
}

// ledgerWork is a hop straight to the ledger: a write, or a read past the caches.
func (s *server) ledgerWork(h *Hop) {
	h.state = working
	if !s.takes() {
		s.end(h, End{Outcome: policy.OutcomeBusy})
		return
	}
	s.w.ran(h) // from here on a write may have its effect
	h.job = s.cpu.add(s.effort(), func() {
		h.job = nil
		issued := s.w.now
		if h.Write {
			s.w.note(Entry{Kind: eventlog.KindEffect, Router: h.Router, Request: h.Txn, Attempt: h.N, Endpoint: s.uid, Class: s.w.rules[h.Rule].Name})
			s.end(h, End{Outcome: policy.OutcomeDone, Reason: policy.ReasonMissOrigin, SizeKB: 1})
			return
		}
		s.crossing(h, func() {
			s.end(h, End{Outcome: policy.OutcomeDone, Reason: policy.ReasonMissOrigin, Issued: issued, SizeKB: h.SizeKB})
		})
	})
}
