package downstream

import (
	"time"

	"quilldoor/internal/diskcache/diskrunner"
	"quilldoor/internal/engine"
	"quilldoor/internal/upstream"
)

// lookUpCached looks for the router's own copy and reports whether that is the
// response. Else the policy decides as ever, and the copy may be revalidated or
// stand in for a response.
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
	if !now.Before(x.deadline) || !x.cached.Serve(x.request.tag == x.cached.Tag) { // a purge came as it was read
		x.cached.Release()
		x.cached = nil
		return false
	}
	x.server.stats.countEnd(engine.CommandRespond)
	x.server.weigh(x.request, true, x.cached.Len(), 0)
	x.server.engine.LocalHit(now.UnixMicro(), x.request.event)
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

// updateCache does what the final command means for the router's own copies: a
// response is offered to the cache, a copy is revalidated, or stands in for a
// missing response. It returns the copy to answer with in place of the command;
// nil: the command's.
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
	case response.NotModified && x.request.tag == "": // of a tag that the client has no copy of
		response.Release()
		*final = engine.Command{Kind: engine.CommandFail}
	}
	return nil
}
