package simulation

import (
	"slices"

	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// answerFault spoils a share of the answers of caches, or of the origin.
type answerFault struct {
	kind   string
	office int // from 1; 0: all
	share  float64
}

// startAnswerFault lets a fault change a share of the answers until it ends.
func (s *Simulation) startAnswerFault(fault *scenario.Fault) (endFault func()) {
	started := &answerFault{fault.Kind, fault.Office, fault.Share}
	s.answerFaults = append(s.answerFaults, started)
	return func() {
		s.answerFaults = slices.DeleteFunc(s.answerFaults, func(other *answerFault) bool { return other == started })
	}
}

// affects tells whether the fault applies to answers of a server at all.
func (f *answerFault) affects(server *server) bool {
	if f.kind == scenario.KindOriginReset {
		return server.kind == kindOrigin
	}
	return server.kind == kindCache && (f.office == 0 || server.office == f.office-1)
}

// applyAnswerFaults draws which fault, if any, changes a server's answer. An answer of policy.OutcomeUnknown is lost.
func (s *Simulation) applyAnswerFaults(server *server, end AttemptResult) AttemptResult {
	errorShare := s.scenario.Fleet.ErrorShare
	if server.kind == kindCache && errorShare > 0 && s.random.Float64() < errorShare {
		return AttemptResult{Outcome: policy.OutcomeError, Load: end.Load}
	}
	for _, fault := range s.answerFaults {
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
			return AttemptResult{Outcome: policy.OutcomeError, Load: end.Load}
		}
	}
	return end
}
