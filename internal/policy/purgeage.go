package policy

import "slices"

// purge records a purge that some caches may not have received yet.
type purge struct {
	object string // "": the whole group
	group  int64
	at     int64 // time at which it was made
}

// purgeMargin covers differences between clocks and rounding.
const purgeMargin = 1 * millisecond

// addPurge records a purge of the given age.
func (r *Router) addPurge(object string, group, age int64) {
	r.purges = append(r.purges, purge{object, group, r.now - age})
}

// maxAge returns the greatest age of a copy for the request: the class's freshness time plus grace, or less if a purge
// of the object may not have reached all caches. 0 means that only the class's freshness time applies.
func (r *Router) maxAge(req *request, grace int64) int64 {
	age := req.class.freshFor + grace
	for _, p := range r.purges {
		since := r.now - p.at
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

// covers reports whether a purge applies to the request's object.
func (p *purge) covers(req *request) bool {
	return p.object == req.object || p.object == "" && p.group == req.group
}

// dropSettledPurges drops purges that have reached all caches.
func (r *Router) dropSettledPurges() {
	r.purges = slices.DeleteFunc(r.purges, func(p purge) bool {
		return r.now-p.at > r.config.purgeSettleTime+purgeMargin
	})
}
