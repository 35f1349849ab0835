package gossip_test

import (
	"fmt"
	"testing"

	"quilldoor/internal/gossip"
)

// An accepted claim must not expire while other routers report later states, even if no two of them report the same
// one. Otherwise a router whose source is disconnected goes back to an earlier start of the endpoint.
func TestAcceptedClaimOutlastsReportsOfLaterStates(t *testing.T) {
	s := newTestSite(3, "")
	s.announce(0b111, true, endpoint("a", active, 0))
	firstRestart := wall + s.now
	s.announce(0b011, false, endpoint("a", active, firstRestart))
	s.advance(2 * second)
	if got := s.applied[2]["a"]; got.StartedAt != firstRestart {
		t.Fatalf("restart reported by two other routers is not applied: %+v", got)
	}
	s.announce(0b001, false, endpoint("a", gone, firstRestart))
	s.announce(0b010, false, endpoint("a", active, wall+s.now))
	s.advance(20 * second)
	if got := s.applied[2]["a"]; got.StartedAt < firstRestart {
		t.Errorf("router went back to an earlier start: %+v", got)
	}
}

// An accepted claim must also be prolonged by reports of a later start that can't be applied, because the local source
// has announced that the endpoint is gone. Otherwise the router goes back to an earlier start once the claim expires.
func TestAcceptedClaimOutlastsReportsOfStartsThatMayNotBeApplied(t *testing.T) {
	s := newDisconnectedSite("")
	s.announce(all, false, endpoint("a", gone, 0))
	restart := wall + s.now
	s.announce(connected, false, endpoint("a", draining, restart))
	s.advance(2 * second)
	if got := s.applied[3]["a"]; got.StartedAt != restart {
		t.Fatalf("drain reported by three other routers is not applied: %+v", got)
	}
	s.announce(connected, false, endpoint("a", active, wall+s.now))
	s.advance(20 * second)
	if got := s.applied[3]["a"]; got.State == active || got.StartedAt < restart {
		t.Errorf("router went back to an earlier start, or reactivated the endpoint against its local source: %+v", got)
	}
}

// The other routers drop the record of an endpoint that has been gone for long, and no longer report it. A router whose
// source is disconnected must not use the endpoint again then.
func TestEndpointStaysGoneOnceOthersHaveForgottenIt(t *testing.T) {
	s := newDisconnectedSite("")
	s.announce(connected, false, endpoint("a", gone, 0))
	for range 200 { // the others drop its record after 120 s
		s.advance(second)
		if got := s.applied[3]["a"]; s.now > 10*second && got.State != gone {
			t.Fatalf("at %d s: %+v", s.now/second, got)
		}
	}
}

// Other routers that have restarted with lists without the endpoint don't report that it is gone. A router whose source
// is disconnected must not use the endpoint again then.
func TestEndpointStaysGoneOnceOthersHaveRestarted(t *testing.T) {
	s := newDisconnectedSite("")
	s.announce(connected, false, endpoint("a", gone, 0))
	s.advance(4 * second)
	for i := range 3 {
		s.replicas[i] = newReplica("")
		s.announce(1<<i, true, endpoint("b", active, 0), endpoint("c", active, 0))
	}
	s.advance(20 * second)
	if got := s.applied[3]["a"]; got.State != gone {
		t.Errorf("endpoint that is gone is used again: %+v", got)
	}
}

// A request fits into a message of package membership, however many claims the replica holds.
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
		t.Errorf("request lists only %d claimed endpoints", len(request.Claimed))
	}
	if size := len((&gossip.Payload{Request: &request}).Encode()); size > messageBytes {
		t.Errorf("request has %d bytes, at most %d fit", size, messageBytes)
	}
}
