package checker

import "quilldoor/internal/eventlog"

// purgeRetention is how long a purge is judged by: longer than any copy may be served.
const purgeRetention = 120 * second

// purge is one that a router was notified of.
type purge struct {
	object     string // "": of the group
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

// checkFreshness judges rule 5: what was sent after a purge was known brings no older copy.
func (c *Checker) checkFreshness(entry *eventlog.Entry, request *request) {
	sentAt := request.completedAttemptSentAt()
	for i := range c.purges[entry.Router] {
		purge := &c.purges[entry.Router][i]
		knownAt := c.knownAt(entry.Router, purge.notifiedAt)
		if purge.covers(request) && sentAt > knownAt+c.settings.PurgeGrace && entry.Issued < purge.madeAt {
			c.violate(ruleNoStaleCopy, entry, "a copy of %.3f s, sent for %d ms after the purge of %.3f s was told",
				seconds(entry.Issued), (sentAt-purge.notifiedAt)/ms, seconds(purge.madeAt))
			return
		}
	}
}
