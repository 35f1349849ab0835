package simulation

import (
	"testing"

	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// resultRecorder is a driver that records the results of attempts by their request.
type resultRecorder struct {
	nopDriver
	results map[string]AttemptResult
}

func (r *resultRecorder) AttemptEnded(_ int, attempt *Attempt, result AttemptResult) {
	r.results[attempt.RequestID] = result
}

// joinTest is a simulation of one office with two caches and one parent, all empty, in which a purge of one object is
// made after oldIssuedAt. The test sends the attempts.
type joinTest struct {
	*Simulation
	driver *resultRecorder
	object int64
	key    int64
}

// oldIssuedAt is the issue time of the copies from before the purge.
const oldIssuedAt = 1 * second

func newJoinTest() *joinTest {
	s := scenario.Default()
	s.Fleet.Offices, s.Fleet.Trunks, s.Fleet.Caches, s.Fleet.Parents = 1, 1, 2, 1
	s.Fleet.PreWarmed = false
	s.Fleet.ParentCoalesces = true
	driver := &resultRecorder{results: map[string]AttemptResult{}}
	sim := New(&s, 1, driver)
	sim.StopClients()
	return &joinTest{Simulation: sim, driver: driver, object: 0, key: partKey(0, 0)}
}

// runUntil runs the simulation's events up to a time.
func (j *joinTest) runUntil(end int64) {
	for j.Next() <= end {
		j.Step(j.Next())
	}
	j.AdvanceTo(end)
}

// send sends an attempt for the object's first part that may join a fill.
func (j *joinTest) send(request, cache string, maxAge int64) {
	j.SendAttempt(&Attempt{
		RequestID: request, Server: cache, Source: j.parents[0][0].id, CachePriority: 1, FillMode: policy.FillWaitFor,
		MaxAge: maxAge, Object: j.catalogue.name(j.object), Group: j.catalogue.group(j.object),
		SizeKB: j.catalogue.size(j.object, 0),
	})
}

// expectIssuedSince checks that an attempt was answered with a copy that was issued at a time or later.
func (j *joinTest) expectIssuedSince(t *testing.T, request string, earliest int64) {
	t.Helper()
	result, ended := j.driver.results[request]
	switch {
	case !ended:
		t.Errorf("attempt %q has not ended", request)
	case result.Outcome != policy.OutcomeDone:
		t.Errorf("attempt %q ended with %v, reason %d", request, result.Outcome, result.Reason)
	case result.Issued < earliest:
		t.Errorf("attempt %q got a copy issued at %d us, want %d us or later", request, result.Issued, earliest)
	}
}

// Guards against an attempt that gets a copy older than its maximum age because it joined a cache's fill that another
// attempt began, before the source's reply and after it.
func TestJoinedFillOfCacheKeepsMaxAge(t *testing.T) {
	for name, joinAfter := range map[string]int64{
		"before the source replies": 1 * millisecond,
		"during the transfer":       12 * millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			j := newJoinTest()
			parent := j.parents[0][0]
			parent.store.put(j.key, j.catalogue.size(j.object, 0), oldIssuedAt, j.catalogue.group(j.object), defaultPriority)
			const purgedAt = 10 * second
			j.runUntil(purgedAt)
			j.send("any age", j.caches[0][0].id, 0)
			j.runUntil(purgedAt + joinAfter)
			j.send("after the purge", j.caches[0][0].id, joinAfter)
			j.runUntil(purgedAt + 5*second)
			j.expectIssuedSince(t, "any age", oldIssuedAt)
			j.expectIssuedSince(t, "after the purge", purgedAt)
		})
	}
}

// Guards against an attempt that gets a copy older than its maximum age because its fill joined a fetch of the parent
// that another cache's fill began.
func TestJoinedFetchOfParentKeepsMaxAge(t *testing.T) {
	j := newJoinTest()
	j.origin.egress.setRates(j.catalogue.size(j.object, 0)/second, j.catalogue.size(j.object, 0)/second)
	const begin = 10 * second
	j.runUntil(begin)
	j.send("any age", j.caches[0][0].id, 0)
	const purgedAt = begin + 500*millisecond // while the origin's copy is on its way
	j.runUntil(purgedAt + millisecond)
	j.send("after the purge", j.caches[0][1].id, millisecond)
	j.runUntil(begin + 8*second)
	j.expectIssuedSince(t, "any age", begin)
	if issued := j.driver.results["any age"].Issued; issued >= purgedAt {
		t.Fatalf("the first copy was issued at %d us, after the purge: the test shows nothing", issued)
	}
	j.expectIssuedSince(t, "after the purge", purgedAt)
}
