package checker

import "quilldoor/internal/eventlog"

// purge is one that a router was notified of.
type purge struct {
	object     string // "": of the group
	group      int64
	madeAt     int64
	notifiedAt int64
}

func (p *purge) covers(r *request) bool {
	return p.object == r.object || p.object == "" && p.group == r.group
}

func (c *Checker) purgeNotified(e *eventlog.Entry) {
	const remembered = 120 * second // longer than any copy may be served
	list := c.purges[e.Router]
	for len(list) > 0 && list[0].notifiedAt < e.At-remembered {
		list = list[1:]
	}
	c.purges[e.Router] = append(list, purge{object: e.Object, group: e.Group, madeAt: e.Until, notifiedAt: e.At})
}

// checkFreshness judges rule 5: what was sent after a purge was known brings no older copy.
func (c *Checker) checkFreshness(e *eventlog.Entry, r *request) {
	sentAt := int64(-1)
	for _, a := range r.attempts {
		if a.outcome == attemptDone {
			sentAt = a.sentAt
			break
		}
	}
	for i := range c.purges[e.Router] {
		p := &c.purges[e.Router][i]
		known := c.knownAt(e.Router, p.notifiedAt)
		if p.covers(r) && sentAt > known+c.settings.PurgeGrace && e.Issued < p.madeAt {
			c.violate(ruleNoStaleCopy, e, "a copy of %.3f s, sent for %d ms after the purge of %.3f s was told",
				seconds(e.Issued), (sentAt-p.notifiedAt)/ms, seconds(p.madeAt))
			return
		}
	}
}
