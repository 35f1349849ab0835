package simulation

import (
	"slices"

	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// responseFault changes or drops a share of the responses of caches, or of the origin.
type responseFault struct {
	kind   string
	office int // from 1; 0: all offices
	share  float64
}

// startResponseFault applies a fault to a share of the responses until the fault ends.
func (s *Simulation) startResponseFault(fault *scenario.Fault) (endFault func()) {
	started := &responseFault{fault.Kind, fault.Office, fault.Share}
	s.responseFaults = append(s.responseFaults, started)
	return func() {
		s.responseFaults = slices.DeleteFunc(s.responseFaults, func(active *responseFault) bool { return active == started })
	}
}

// affects reports whether the fault applies to the responses of a server.
func (f *responseFault) affects(server *server) bool {
	if f.kind == scenario.KindOriginReset {
		return server.kind == kindOrigin
	}
	return server.kind == kindCache && (f.office == 0 || server.office == f.office-1)
}

// applyResponseFaults draws the fault, if any, that changes a server's response, and returns the changed response.
// policy.OutcomeUnknown means that the response is lost.
func (s *Simulation) applyResponseFaults(server *server, result AttemptResult) AttemptResult {
	errorShare := s.scenario.Fleet.ErrorShare
	if server.kind == kindCache && errorShare > 0 && s.random.Float64() < errorShare {
		return AttemptResult{Outcome: policy.OutcomeError, Load: result.Load}
	}
	for _, fault := range s.responseFaults {
		if !fault.affects(server) || s.random.Float64() >= fault.share {
			continue
		}
		switch fault.kind {
		case scenario.KindResponseReset, scenario.KindOriginReset:
			return AttemptResult{Outcome: policy.OutcomeConnectionReset}
		case scenario.KindResponseCorrupt:
			return AttemptResult{Outcome: policy.OutcomeConnectionReset, Unparsable: true}
		case scenario.KindResponseEndless:
			return AttemptResult{Outcome: policy.OutcomeUnknown}
		case scenario.KindResponseError:
			return AttemptResult{Outcome: policy.OutcomeError, Load: result.Load}
		}
	}
	return result
}
