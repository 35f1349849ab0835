package simulation

import (
	"fmt"
	"slices"

	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// answerFault is a share of answers that goes wrong at some caches.
type answerFault struct {
	kind   string
	office int // from 1; 0: all
	share  float64
}

// applyAnswerFaults lets troubles get between a server and its answer; no code: it never comes.
func (w *World) applyAnswerFaults(server *server, end End) End {
	if server.kind == kindCache && w.scenario.Fleet.ErrorShare > 0 && w.random.Float64() < w.scenario.Fleet.ErrorShare {
		return End{Outcome: policy.OutcomeError, Load: end.Load}
	}
	for _, fault := range w.answerFaults {
		if fault.kind == "ledger_resets" && server.kind == kindOrigin && w.random.Float64() < fault.share {
			return End{Outcome: policy.OutcomeConnectionReset}
		}
		if server.kind != kindCache || fault.kind == "ledger_resets" || fault.office > 0 && server.office != fault.office-1 || w.random.Float64() >= fault.share {
			continue
		}
		switch fault.kind {
		case "resets":
			return End{Outcome: policy.OutcomeConnectionReset}
		case "spoilt":
			return End{Outcome: policy.OutcomeConnectionReset, Spoilt: true}
		case "endless":
			return End{}
		case "errors":
			return End{Outcome: policy.OutcomeError, Load: end.Load}
		}
	}
	return end
}

// takeDown takes servers away; the board hears of it late, and of their return.
func (w *World) takeDown(servers []*server, silent bool) (endFault func()) {
	for _, server := range servers {
		server.crash(silent)
		w.setListed(server, policy.EndpointGone, w.jitter(w.scenario.Fleet.DeathDetectionMS*1000))
	}
	return func() { w.bringBack(servers) }
}

func (w *World) bringBack(servers []*server) {
	for _, server := range servers {
		if server.up || server.collapsed {
			continue
		}
		server.start()
		w.setListed(server, policy.EndpointActive, 0)
	}
}

func (w *World) pauseRepeatedly(servers []*server, fault *scenario.Fault) (endFault func()) {
	active := true
	for _, server := range servers {
		var pause func()
		incarnation := server.incarnation
		pause = func() {
			if !active || server.incarnation != incarnation {
				return
			}
			server.activePauses++
			server.updateRate()
			w.schedule(int64(fault.Strength*1000), func() {
				if server.incarnation == incarnation {
					server.activePauses--
					server.updateRate()
				}
			})
			w.schedule(w.jitter(fault.Every*1e6), pause)
		}
		w.schedule(int64(w.random.Float64()*fault.Every*1e6), pause)
	}
	return func() { active = false }
}

// deploy drains servers some at a time; a successor with a name of its own starts
// cold in the place of each.
func (w *World) deploy(servers []*server, fault *scenario.Fault) {
	const drained = 3 * second // what a drained one has left to finish
	for i := 0; i < len(servers); i += int(fault.Strength) {
		wave := servers[i:min(i+int(fault.Strength), len(servers))]
		w.schedule(int64(float64(i)/fault.Strength*fault.Every*1e6), func() {
			for _, server := range wave {
				if !server.up {
					continue
				}
				w.setListed(server, policy.EndpointDraining, 0)
				w.schedule(drained, func() { w.replace(server) })
			}
		})
	}
}

func (w *World) replace(server *server) {
	if server.up {
		server.crash(false)
	}
	w.setListed(server, policy.EndpointGone, 0)
	index := slices.Index(w.caches[server.office], server)
	if index < 0 {
		return
	}
	successor := w.newCache(server.office, fmt.Sprintf("%s.%d", server.id, w.sequence))
	successor.up = false
	w.caches[server.office][index] = successor
	successor.start()
	w.setListed(successor, policy.EndpointActive, 0)
}

// preempt drains servers, and takes them away a moment later; they come back.
func (w *World) preempt(servers []*server, notice int64) (endFault func()) {
	for _, server := range servers {
		w.setListed(server, policy.EndpointDraining, 0)
		w.schedule(notice, func() {
			if server.up {
				server.crash(false)
			}
			w.setListed(server, policy.EndpointGone, 0)
		})
	}
	return func() { w.bringBack(servers) }
}
