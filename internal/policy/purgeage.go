package policy

import "slices"

// purge records a purge that some caches may not have received yet.
type purge struct {
	object     string // "": the whole group
	group      int64
	at         int64 // time at which it was made
	purgedAt   int64 // the same on the clock of the origin; 0: unknown
	receivedAt int64 // time at which this router received it
	violated   bool  // a purged copy was returned although the greatest age excluded it
}

// purgeMargin covers differences between clocks and rounding.
const purgeMargin = 1 * millisecond

// addPurge records a purge.
func (r *Router) addPurge(e *Event) {
	r.purges = append(r.purges, purge{
		object: e.Object, group: e.Group, at: r.now - e.Age, purgedAt: e.PurgedAt, receivedAt: r.now,
	})
}

// maxAge returns the greatest age of a copy for the request: the class's freshness time plus grace, or less if a purge
// of the object may not have reached all caches. 0 means that only the class's freshness time applies.
func (r *Router) maxAge(req *request, grace int64) int64 {
	age := req.class.freshFor + grace
	for _, p := range r.purges {
		since := r.now - p.at
		if p.violated { // the ages that caches compute, or the clocks, are unreliable
			since = r.now - p.receivedAt
		}
		if since >= r.config.purgeSettleTime+purgeMargin || !p.covers(req) {
			continue
		}
		since = max(since-purgeMargin, 1)
		if age == 0 || since < age {
			age = since
		}
	}
	return age
}

// RejectPurgedCopy reports whether the copy in the response to an attempt must not be passed on: the origin issued it, at
// the time issued on its own clock, before a purge that this router had received when it sent the attempt. The greatest
// age excludes such copies, but a cache may return one all the same: from a fill that another request began, or because
// its clock and this router's differ. After the first one, attempts ask for copies from after the receipt of the purge.
func (r *Router) RejectPurgedCopy(requestID string, attemptNumber int, issued int64) (rejected bool) {
	req := r.requests[requestID]
	if req == nil || attemptNumber < 0 || attemptNumber >= len(req.attempts) {
		return false
	}
	sentAt := req.attempts[attemptNumber].sentAt
	for i := range r.purges {
		p := &r.purges[i]
		if issued < p.purgedAt && p.receivedAt <= sentAt && p.covers(req) {
			p.violated = true
			return true
		}
	}
	return false
}

// covers reports whether a purge applies to the request's object.
func (p *purge) covers(req *request) bool {
	return p.object == req.object || p.object == "" && p.group == req.group
}

// dropSettledPurges drops purges that have reached all caches. Their time counts from their receipt, on this router's
// clock alone.
func (r *Router) dropSettledPurges() {
	r.purges = slices.DeleteFunc(r.purges, func(p purge) bool {
		return r.now-p.receivedAt > r.config.purgeSettleTime+purgeMargin
	})
}
