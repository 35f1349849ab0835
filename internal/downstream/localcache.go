package downstream

import (
	"time"

	"quilldoor/internal/clock"
	"quilldoor/internal/diskcache/diskrunner"
	"quilldoor/internal/engine"
	"quilldoor/internal/upstream"
)

// lookUpCached looks the request up in the disk cache and reports whether the copy
// is to be served. If not, the engine decides, and a copy that was found may be
// revalidated, or served stale in place of a failure.
func (x *exchange) lookUpCached() (served bool) {
	cache := x.server.cache.Load()
	if cache == nil || x.request.event.Write {
		return false
	}
	x.cached = cache.Get(x.cacheRequest())
	if x.cached == nil || !x.cached.Fresh {
		return false
	}
	now := time.Now()
	// Serve refuses the copy if, for example, a purge arrived while it was read.
	if !now.Before(x.deadline) || !x.cached.Serve(x.request.tag == x.cached.Tag) {
		x.cached.Release()
		x.cached = nil
		return false
	}
	x.server.stats.countOutcome(engine.CommandRespond)
	x.server.countWeight(x.request, true, x.cached.Len(), 0)
	x.server.engine.LocalHit(clock.At(now), x.request.event)
	return true
}

func (x *exchange) cacheRequest() *diskrunner.Request {
	event := &x.request.event
	return &diskrunner.Request{
		Class:     event.Class,
		Object:    event.Object,
		Part:      event.Part,
		Group:     uint8(event.Group),
		Remaining: time.Until(x.deadline),
	}
}

// updateCache applies the final command to the disk cache: it offers a response to
// the cache, or marks the cached copy as revalidated. It returns the cached copy if
// that is to be served instead: a revalidated one, or a stale one in place of a
// failure. Nil: the final command, which may have changed, gives the response.
func (x *exchange) updateCache(final *engine.Command) *diskrunner.Copy {
	clientHasCopy := x.cached != nil && x.request.tag == x.cached.Tag
	if final.Kind != engine.CommandRespond {
		if x.cached != nil && time.Now().Before(x.deadline) && x.cached.ServeStale(clientHasCopy) {
			return x.cached
		}
		return nil
	}
	response := final.Response.(*upstream.Response)
	switch {
	case !response.NotModified && !x.request.event.Write:
		if cache := x.server.cache.Load(); cache != nil {
			cache.Offer(x.cacheRequest(), response.Tag, response.IssuedMillis, response.Body)
		}
	case x.cached != nil && response.NotModified && x.tag == x.cached.Tag && response.Tag == x.tag:
		x.cached.Revalidated(response.IssuedMillis, x.request.tag == "")
		if x.request.tag == "" {
			return x.cached
		}
	case response.NotModified && x.request.tag == "": // neither client nor disk cache holds the confirmed copy
		response.Release()
		*final = engine.Command{Kind: engine.CommandFail}
	}
	return nil
}
