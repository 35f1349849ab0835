package policy

import "slices"

// purge is one that some caches may not have seen yet.
type purge struct {
	object string // "": the whole group
	group  int64
	at     int64
}

// purgeMargin is added for clocks and rounding.
const purgeMargin = 1 * millisecond

// addPurge takes in a purge that was made some time ago.
func (r *Router) addPurge(object string, group, age int64) {
	r.purges = append(r.purges, purge{object, group, r.now - age})
}

// maxAge is how old a copy may be for the request: the class's freshness time with some grace, and no older than
// the last purge that caches may not have seen. 0: the class's freshness time alone.
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

// covers reports whether a purge concerns the request's object.
func (p *purge) covers(req *request) bool {
	return p.object == req.object || p.object == "" && p.group == req.group
}

// dropSettledPurges drops purges that all caches have seen.
func (r *Router) dropSettledPurges() {
	r.purges = slices.DeleteFunc(r.purges, func(p purge) bool {
		return r.now-p.at > r.config.purgeSettleTime+purgeMargin
	})
}
