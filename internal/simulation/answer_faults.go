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

// hits tells whether the fault applies to answers of a server at all.
func (f *answerFault) hits(server *server) bool {
	if f.kind == faultOriginReset {
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
		if !fault.hits(server) || s.random.Float64() >= fault.share {
			continue
		}
		switch fault.kind {
		case faultAnswerReset, faultOriginReset:
			return AttemptResult{Outcome: policy.OutcomeConnectionReset}
		case faultAnswerCorrupt:
			return AttemptResult{Outcome: policy.OutcomeConnectionReset, Unparsable: true}
		case faultAnswerLost:
			return AttemptResult{Outcome: policy.OutcomeUnknown}
		case faultAnswerError:
			return AttemptResult{Outcome: policy.OutcomeError, Load: end.Load}
		}
	}
	return end
}
