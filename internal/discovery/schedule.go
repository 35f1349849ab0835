package discovery

import (
	"math/rand/v2"
	"slices"
	"time"

	"quilldoor/internal/config"
)

const (
	// maxOpenPolls bounds the polls that are open at once.
	maxOpenPolls = 3

	// patienceSpread is the part of the longest patience by which routers differ, so that they
	// don't all poll a slow service in the same moment.
	patienceSpread = 0.05

	// A backoff is drawn from minBackoffPart to minBackoffPart+1 times its mean, for the same reason.
	minBackoffPart = 0.5
)

// schedule decides when the next poll is sent, and which open poll is given up for it. It does
// no I/O.
//
// In ordinary times one poll is open, and the next one follows its response. A poll that is late
// stays open, and another one is sent beside it: the service may be slow, or the connection may
// have failed silently, which can't be told apart before a response arrives. The more a service
// is known to be late, the longer the schedule waits before it sends a poll beside an open one.
type schedule struct {
	wait       time.Duration // how long the service may hold a poll
	grace      time.Duration // beyond wait until a poll is late
	backoffMin time.Duration
	backoffMax time.Duration
	lossTime   time.Duration // beyond wait until the events that a poll has not brought must be known

	deliveryTime time.Duration // until any event must be known

	open             []*poll       // in the order in which they were sent
	answeredSequence int           // of the latest poll that was answered; earlier ones are overtaken
	knownAt          time.Time     // when that poll was sent; zero: none was answered
	delay            time.Duration // of recent responses, at most; 0 if they were in time
	backoff          time.Duration // of polls in a row without a response
	retryAt          time.Time     // no poll is sent earlier, after a failed one
	failure          pollFailure
}

// pollFailure stands for the polls that have ended without a response since one was answered.
type pollFailure struct {
	sequence int       // of the latest
	at       time.Time // since when events may be unknown; zero: there is none
}

func newSchedule(limits *config.Limits) schedule {
	return schedule{
		wait:       limits.PollWait,
		grace:      limits.PollGrace,
		backoffMin: limits.PollBackoffMin,
		backoffMax: limits.PollBackoffMax,
		lossTime:   limits.PollLossTime,

		deliveryTime: limits.EventDeliveryTime,
	}
}

// pending returns the open polls that no answered poll has overtaken, oldest first.
func (s *schedule) pending() []*poll {
	for i, p := range s.open {
		if p.sequence > s.answeredSequence {
			return s.open[i:]
		}
	}
	return nil
}

// nextPollAt returns when the next poll is to be sent.
func (s *schedule) nextPollAt() time.Time {
	pending := s.pending()
	if len(pending) == 0 {
		return s.retryAt
	}
	latest := pending[len(pending)-1]
	at := s.besideAt(latest)
	if len(pending) >= maxOpenPolls && latest.isConnected() {
		at = laterOf(at, pending[0].startedAt.Add(s.wait+s.deliveryTime-s.lossTime))
	}
	return laterOf(at, s.retryAt)
}

// besideAt returns when another poll is to be sent beside an open one. A response that arrives in
// pieces delays it, up to the longest patience.
func (s *schedule) besideAt(p *poll) time.Time {
	backoff := drawBackoff(max(s.backoff, s.backoffMin), p.spread)
	if !p.isConnected() {
		return p.startedAt.Add(s.grace + backoff)
	}
	longest := s.longestPatience(p.spread)
	at := p.startedAt.Add(min(s.wait+s.grace+max(s.delay, backoff), longest))
	received := p.lastReceivedAt()
	if received.IsZero() {
		return at
	}
	at = laterOf(at, received.Add(s.grace))
	if limit := p.startedAt.Add(longest); at.After(limit) {
		return limit
	}
	return at
}

// longestPatience returns how long a poll may be open until another one is sent beside it. A
// poll that is answered with events brings none of those that follow them, so that the next
// poll has to be answered within the delivery time. The polls that may be open at once
// bound the rate, too.
func (s *schedule) longestPatience(spread float64) time.Duration {
	longest := min(s.wait+s.lossTime+s.grace/2, s.deliveryTime-s.delay-s.grace/2)
	longest -= time.Duration(spread * patienceSpread * float64(longest))
	return max(longest, (s.wait+s.delay)/maxOpenPolls, s.wait+s.grace)
}

// replaced returns the open poll that is to be given up before the next one is sent, or nil if
// there is room: the oldest one that is overtaken, otherwise the latest one. The oldest ones stay
// open, since a slow service responds to them first.
func (s *schedule) replaced() *poll {
	if len(s.open) < maxOpenPolls {
		return nil
	}
	if s.open[0].sequence <= s.answeredSequence {
		return s.open[0]
	}
	return s.open[len(s.open)-1]
}

// sent adds a poll that was sent.
func (s *schedule) sent(p *poll) {
	if len(s.pending()) > 0 {
		s.raiseBackoff()
	}
	p.spread = rand.Float64()
	s.open = append(s.open, p)
}

// answered removes a poll that was answered, and returns by how much its response was late.
func (s *schedule) answered(p *poll, now time.Time, hasEvents bool) (lateness time.Duration) {
	s.remove(p)
	s.backoff = 0
	taken := now.Sub(p.startedAt)
	lateness = max(taken-s.wait, 0)
	if p.sequence <= s.answeredSequence {
		return lateness
	}
	s.answeredSequence = p.sequence
	s.knownAt = p.startedAt
	if p.sequence > s.failure.sequence {
		s.failure = pollFailure{}
	}
	s.delay /= 2
	switch {
	case lateness > s.grace && hasEvents: // the service may have held the poll not at all
		s.delay = max(s.delay, taken)
	default:
		s.delay = max(s.delay, lateness)
	}
	return lateness
}

// failed removes a poll that ended without a response, and reports whether that says something
// about the service: the end of a poll that was given up, or that is overtaken, doesn't.
func (s *schedule) failed(p *poll, now time.Time) bool {
	if !s.remove(p) || p.sequence <= s.answeredSequence {
		return false
	}
	s.recordFailure(p, now)
	s.raiseBackoff()
	s.retryAt = now.Add(drawBackoff(s.backoff, rand.Float64()))
	return true
}

// giveUp removes a poll whose response is not awaited any longer.
func (s *schedule) giveUp(p *poll, now time.Time) {
	s.remove(p)
	if p.sequence > s.answeredSequence {
		s.recordFailure(p, now)
	}
}

// stop removes all open polls, which end without a response.
func (s *schedule) stop(now time.Time) {
	for _, p := range s.pending() {
		s.recordFailure(p, now)
	}
	s.open = nil
	s.backoff = 0
	s.delay = 0
	s.retryAt = time.Time{}
}

// overtakeAll makes all open polls count as overtaken: the service has restarted its numbers.
func (s *schedule) overtakeAll() {
	if len(s.open) > 0 {
		s.answeredSequence = max(s.answeredSequence, s.open[len(s.open)-1].sequence)
	}
}

// recordFailure records a poll that has ended without a response. Events may be unknown from when
// it had to be answered, or from its end if that is earlier.
func (s *schedule) recordFailure(p *poll, now time.Time) {
	at := earlierOf(s.dueAt(p), now)
	if s.failure.at.IsZero() || at.Before(s.failure.at) {
		s.failure.at = at
	}
	s.failure.sequence = max(s.failure.sequence, p.sequence)
}

// dueAt returns when a poll has to be answered, or to be connected if it isn't yet.
func (s *schedule) dueAt(p *poll) time.Time {
	if !p.isConnected() {
		return p.startedAt
	}
	return p.startedAt.Add(s.wait)
}

func (s *schedule) raiseBackoff() {
	s.backoff = min(max(2*s.backoff, s.backoffMin), s.backoffMax)
}

// drawBackoff returns a backoff of the given mean. The spread is from 0 to 1.
func drawBackoff(mean time.Duration, spread float64) time.Duration {
	return time.Duration((minBackoffPart + spread) * float64(mean))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// remove removes an open poll, and reports whether it was open.
func (s *schedule) remove(p *poll) bool {
	i := slices.Index(s.open, p)
	if i < 0 {
		return false
	}
	s.open = slices.Delete(s.open, i, i+1)
	return true
}

// overdueSince returns since when events may be unknown because a poll was not answered: the end
// of the oldest one's wait, or the end of its connection. Before the end of the wait the time is
// in the future. It is zero if no poll is unanswered.
func (s *schedule) overdueSince() time.Time {
	since := s.failure.at
	if pending := s.pending(); len(pending) > 0 {
		due := s.dueAt(pending[0])
		if since.IsZero() || due.Before(since) {
			since = due
		}
	}
	return since
}

// unconnectedFor returns for how long the oldest open poll has been without a connection, once
// that is longer than the grace; else 0.
func (s *schedule) unconnectedFor(now time.Time) time.Duration {
	pending := s.pending()
	if len(pending) == 0 || pending[0].isConnected() || now.Before(pending[0].startedAt.Add(s.grace)) {
		return 0
	}
	return now.Sub(pending[0].startedAt)
}

// lateBy returns by how much the oldest open poll is late, apart from the grace; 0 if it isn't.
func (s *schedule) lateBy(now time.Time) time.Duration {
	pending := s.pending()
	if len(pending) == 0 || now.Before(pending[0].startedAt.Add(s.wait+s.grace)) {
		return 0
	}
	return now.Sub(pending[0].startedAt) - s.wait
}
