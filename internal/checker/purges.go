package checker

import "quilldoor/internal/eventlog"

// purgeRetention is how long answers are checked against a purge: longer than any copy may be served.
const purgeRetention = 120 * second

// purge is a purge that a router was notified of.
type purge struct {
	object     string // "": all objects of the group
	group      int64
	madeAt     int64
	notifiedAt int64
}

func (p *purge) covers(request *request) bool {
	return p.object == request.object || p.object == "" && p.group == request.group
}

func (c *Checker) purgeNotified(entry *eventlog.Entry) {
	purges := c.purges[entry.Router]
	for len(purges) > 0 && purges[0].notifiedAt < entry.At-purgeRetention {
		purges = purges[1:]
	}
	c.purges[entry.Router] = append(purges, purge{
		object: entry.Object, group: entry.Group, madeAt: entry.Until, notifiedAt: entry.At,
	})
}

// checkFreshness checks rule 5: an attempt that was sent after its router was notified of a purge
// returns no copy older than the purge.
func (c *Checker) checkFreshness(entry *eventlog.Entry, request *request) {
	sentAt := request.completedAttemptSentAt()
	for i := range c.purges[entry.Router] {
		purge := &c.purges[entry.Router][i]
		processableAt := c.processableAt(entry.Router, purge.notifiedAt)
		if purge.covers(request) && sentAt > processableAt+c.settings.PurgeGrace && entry.Issued < purge.madeAt {
			c.violate(ruleNoStaleCopy, entry, "a copy issued at %.3f s, requested %d ms after the notification of the purge at %.3f s",
				seconds(entry.Issued), (sentAt-purge.notifiedAt)/ms, seconds(purge.madeAt))
			return
		}
	}
}
