package gossip_test

import (
	"fmt"
	"testing"

	"quilldoor/internal/gossip"
)

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

// Guards against a router without a source using an endpoint again that is long gone, since the others have forgotten it
// and no longer report it.
func TestEndpointStaysGoneOnceOthersHaveForgottenIt(t *testing.T) {
	s := newCutSite("")
	s.announce(connected, false, endpoint("a", gone, 0))
	for range 200 { // the others forget it after 120 s
		s.advance(second)
		if got := s.applied[3]["a"]; s.now > 10*second && got.State != gone {
			t.Fatalf("at %d s: %+v", s.now/second, got)
		}
	}
}

// Guards against the same where all others are started again, with lists that never had the endpoint.
func TestEndpointStaysGoneOnceOthersHaveRestarted(t *testing.T) {
	s := newCutSite("")
	s.announce(connected, false, endpoint("a", gone, 0))
	s.advance(4 * second)
	for i := range 3 {
		s.replicas[i] = newReplica("")
		s.announce(1<<i, true, endpoint("b", active, 0), endpoint("c", active, 0))
	}
	s.advance(20 * second)
	if got := s.applied[3]["a"]; got.State != gone {
		t.Errorf("used again: %+v", got)
	}
}

// However many claims a replica holds, its request fits into a message of membership.
func TestRequestWithManyClaimsFitsIntoAMessage(t *testing.T) {
	const messageBytes = 1000
	s := newTestSite(3, "")
	var list, drained []gossip.Endpoint
	for i := range 300 {
		id := fmt.Sprintf("cache-%03d", i)
		list = append(list, endpoint(id, active, 0))
		drained = append(drained, endpoint(id, draining, 0))
	}
	s.announce(0b111, true, list...)
	s.announce(0b011, false, drained...)
	s.advance(10 * second)
	request := s.replicas[2].NewRequest()
	if len(request.Claimed) < 10 {
		t.Errorf("only %d claims are named", len(request.Claimed))
	}
	if size := len((&gossip.Payload{Request: &request}).Encode()); size > messageBytes {
		t.Errorf("a request has %d bytes", size)
	}
}
