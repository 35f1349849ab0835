package discovery

import "time"

// health is what the handler was last told about the service.
type health int

const (
	healthGood health = iota
	healthSlow        // responses arrive, but late
	healthLost        // polls fail, or no response has arrived for too long
)

// reportGrowth is the factor by which the delay of a slow service has to grow until it is
// reported again.
const reportGrowth = 2

// reportFailure reports a failed poll, unless discovery counts as lost already.
func (w *Watcher) reportFailure(err error) {
	if w.health != healthLost {
		w.health = healthLost
		w.handler.DiscoveryLost(err)
	}
}

// reportSlow reports a slow service, once for each order of its delay.
func (w *Watcher) reportSlow(delay time.Duration) {
	if w.health == healthSlow && delay < reportGrowth*w.reportedDelay {
		return
	}
	w.health = healthSlow
	w.reportedDelay = delay
	w.handler.DiscoverySlow(delay)
}

// reportResponse reports what a response says about the service, before its events.
func (w *Watcher) reportResponse(lateness time.Duration, now time.Time) {
	isSlow := lateness > w.schedule.grace
	stillSlow := w.schedule.delay > w.schedule.grace || w.schedule.lateBy(now) > 0
	if w.health == healthLost || w.health == healthSlow && !isSlow && !stillSlow {
		w.health = healthGood
		w.reportedDelay = 0
		w.handler.DiscoveryRestored()
	}
	if isSlow {
		w.reportSlow(lateness)
	}
}

// reportLateness reports that open polls are late, or have not been answered for too long.
func (w *Watcher) reportLateness(now time.Time) {
	s := &w.schedule
	lateBy := s.lateBy(now)
	switch {
	case s.unconnectedFor(now) > 0:
		w.reportFailure(noConnectionError{s.unconnectedFor(now)})
	case lateBy == 0:
	case lateBy >= w.limits.EventDeliveryTime:
		w.reportFailure(noResponseError{s.wait + lateBy})
	case w.health == healthGood:
		w.reportSlow(lateBy)
	}
	if since := s.overdueSince(); since != w.overdueSince {
		w.overdueSince = since
		w.handler.DiscoveryOverdue(since)
	}
}

// nextReportAt returns when reportLateness has something to report unless a response arrives
// before; zero: never.
func (w *Watcher) nextReportAt(now time.Time) time.Time {
	pending := w.schedule.pending()
	if len(pending) == 0 || w.health == healthLost {
		return time.Time{}
	}
	if !pending[0].isConnected() {
		return pending[0].startedAt.Add(w.schedule.grace)
	}
	due := pending[0].startedAt.Add(w.schedule.wait)
	if late := due.Add(w.schedule.grace); w.health == healthGood && now.Before(late) {
		return late
	}
	return due.Add(w.limits.EventDeliveryTime)
}
