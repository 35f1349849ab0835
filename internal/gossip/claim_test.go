package gossip_test

import "testing"

// Guards against a router without a source going back to an earlier start of an endpoint, since the others report
// later states than the one that it has accepted, and each another one.
func TestAcceptedClaimOutlastsReportsOfLaterStates(t *testing.T) {
	s := newTestSite(3, "")
	s.announce(0b111, true, endpoint("a", active, 0))
	firstRestart := wall + s.now
	s.announce(0b011, false, endpoint("a", active, firstRestart))
	s.advance(2 * second)
	if got := s.applied[2]["a"]; got.StartedAt != firstRestart {
		t.Fatalf("the restart that two others report is not applied: %+v", got)
	}
	s.announce(0b001, false, endpoint("a", gone, firstRestart))
	s.announce(0b010, false, endpoint("a", active, wall+s.now))
	s.advance(20 * second)
	if got := s.applied[2]["a"]; got.StartedAt < firstRestart {
		t.Errorf("goes back to an earlier start: %+v", got)
	}
}

// Guards against the same where the own source has announced that the endpoint is gone, so that no later start that
// the others report can be applied.
func TestAcceptedClaimOutlastsReportsOfStartsThatMayNotBeApplied(t *testing.T) {
	s := newCutSite("")
	s.announce(all, false, endpoint("a", gone, 0))
	restart := wall + s.now
	s.announce(connected, false, endpoint("a", draining, restart))
	s.advance(2 * second)
	if got := s.applied[3]["a"]; got.StartedAt != restart {
		t.Fatalf("the draining that three others report is not applied: %+v", got)
	}
	s.announce(connected, false, endpoint("a", active, wall+s.now))
	s.advance(20 * second)
	if got := s.applied[3]["a"]; got.State == active || got.StartedAt < restart {
		t.Errorf("goes back to an earlier start, or is used against the own source: %+v", got)
	}
}
