package diskcache

// Request is a read request that the disk cache may answer.
type Request struct {
	ClassIndex int // index in Settings.Classes
	Object     string
	Part       int64
	Group      uint8 // purge group of the object
	Remaining  int64 // microseconds until the request's timeout
}

// Verdict is the way in which a request is to be handled.
type Verdict uint8

// The verdicts.
const (
	VerdictMiss       Verdict = iota // forward the request
	VerdictServe                     // read the part and serve it without revalidation
	VerdictRevalidate                // read the part, and revalidate it by its ETag at a cache
)

// LookupResult describes the part to be read. With VerdictMiss only Reason is set.
type LookupResult struct {
	Reason       Reason // of the verdict; ReasonOK with VerdictServe
	Ref          Ref
	Extents      []Extent // of the record, in the order in which it fills them
	Length       int      // of the record in bytes, its header included
	StaleIfError bool     // with VerdictRevalidate: the copy may be served in place of a failure
}

// Lookup counts a request and decides how to handle it. After VerdictServe and
// VerdictRevalidate the caller must read the part and call FinishRead.
func (p *Policy) Lookup(now int64, request *Request) (Verdict, LookupResult) {
	verdict, result := p.lookup(now, request)
	p.Counts.Lookups[result.Reason]++
	return verdict, result
}

func (p *Policy) lookup(now int64, request *Request) (Verdict, LookupResult) {
	class := &p.settings.Classes[request.ClassIndex]
	if !class.Cacheable {
		return miss(ReasonNotCacheable)
	}
	key := p.partKey(request)
	object := p.objectKey(request.Object)
	countRequest(p.sketch, p.frequencyKey(key, object), p.index.entries)
	if p.health == HealthOff {
		return miss(ReasonDiskOff)
	}
	i := p.index.find(key)
	if i == noIndex {
		return miss(ReasonNotCached)
	}
	entry := p.index.at(i)
	p.index.touch(i)
	if p.purges.covers(entry) {
		p.drop(i)
		p.Counts.Purged++
		return miss(ReasonPurged)
	}
	if entry.state != entryReadable {
		return miss(ReasonNotWritten)
	}
	if p.activeReads >= p.settings.MaxReads {
		return miss(ReasonDiskBusy)
	}
	reason := p.freshness(now, entry, class)
	verdict := VerdictRevalidate
	if reason == ReasonOK {
		verdict = VerdictServe
		if !p.arrivesInTime(now, entry, class, request) {
			return miss(ReasonLinkBusy)
		}
	}
	p.activeReads++
	return verdict, LookupResult{
		Reason:       reason,
		Ref:          Ref{i, entry.seq},
		Length:       int(entry.length),
		Extents:      p.slots.extents(entry.firstSlot),
		StaleIfError: reason == ReasonTooOld && withinGrace(now, entry, class),
	}
}

func miss(reason Reason) (Verdict, LookupResult) { return VerdictMiss, LookupResult{Reason: reason} }

// arrivesInTime reports whether a copy sent now arrives within the latency objective and
// the request's timeout. Where the router's own link is saturated it does not, and the
// request is forwarded, since a cache has its own link.
func (p *Policy) arrivesInTime(now int64, e *entry, class *TrafficClass, request *Request) bool {
	end := p.bandwidth.transferEnd(now, int64(e.length))
	return end-now <= min(class.LatencyObjective, request.Remaining)
}

// freshness returns ReasonOK if a copy may be served without revalidation, and otherwise
// the reason why it must be revalidated first.
func (p *Policy) freshness(now int64, e *entry, class *TrafficClass) Reason {
	const maxClockLead = 1 * second // the clocks of an installation agree more closely
	age := ageOf(now, e)
	switch {
	case e.epoch != p.epoch:
		return ReasonUnvalidated
	case p.purgesUnknown(now):
		return ReasonPurgesUnknown
	case age < -maxClockLead:
		return ReasonFromFuture
	case age > class.FreshFor:
		return ReasonTooOld
	}
	return ReasonOK
}

func ageOf(now int64, e *entry) int64 { return now - e.issued*microsPerMilli }

// withinGrace reports whether a copy is young enough to be served in place of a failure.
func withinGrace(now int64, e *entry, class *TrafficClass) bool {
	return ageOf(now, e) <= class.FreshFor+class.StaleGrace
}

// ReadOutcome is the result of a read.
type ReadOutcome uint8

// The outcomes of a read.
const (
	ReadIntact  ReadOutcome = iota // the record is whole and belongs to the requested part
	ReadCorrupt                    // the record is torn, truncated, unreadable, has flipped bits or another Seq
	ReadUnused                     // no memory for the record, or it belongs to another part with the same hash
)

// FinishRead ends a read that Lookup allowed. It reports whether the copy may be used: in
// the meantime a purge may have covered it, or the part may have been evicted. It also
// reports whether a read failure has changed the health.
func (p *Policy) FinishRead(now int64, ref Ref, outcome ReadOutcome) (usable, healthChanged bool) {
	p.activeReads--
	e := p.find(ref)
	if e == nil || p.purges.covers(e) || outcome == ReadUnused {
		return false, false
	}
	if outcome == ReadCorrupt {
		p.drop(ref.index)
		_, healthChanged = p.HandleEvent(now, EventReadFailed)
		return false, healthChanged
	}
	return true, false
}

// ReserveServe reports, immediately before a response is written, whether a copy may be
// served without revalidation, or with staleIfError in place of a failure. If so, it
// reserves the link for the transfer. Bytes is the size of the body. With notModified the
// client already has the body and receives only a header.
func (p *Policy) ReserveServe(now int64, ref Ref, classIndex int, bytes int64, notModified, staleIfError bool) bool {
	e := p.find(ref)
	if e == nil || p.purges.covers(e) {
		return false
	}
	class := &p.settings.Classes[classIndex]
	reason := p.freshness(now, e, class)
	stale := staleIfError && reason == ReasonTooOld && withinGrace(now, e, class)
	if reason != ReasonOK && !stale {
		return false
	}
	p.Counts.Served++
	if staleIfError {
		p.Counts.ServedStale++
	}
	p.countServed(now, bytes, notModified)
	return true
}

func (p *Policy) countServed(now, bytes int64, notModified bool) {
	const bodyPerHeader = 20 // a 304 counts as a twentieth of its body
	if notModified {
		p.Counts.NotModified++
		bytes /= bodyPerHeader
	}
	p.Counts.BytesServed += bytes
	p.bandwidth.reserve(now, bytes)
}

// Revalidated records that a cache has found the copy current: the cache's own copy, issued
// by the origin at issuedMillis (Unix), has the same ETag and so the same bytes. Bytes is
// the number sent to the client from disk.
func (p *Policy) Revalidated(now int64, ref Ref, issuedMillis int64, bytes int64) {
	p.Counts.Revalidated++
	p.countServed(now, bytes, false)
	e := p.find(ref)
	if e == nil {
		return
	}
	e.issued = max(e.issued, issuedMillis)
	if p.purgesComplete(now, issuedMillis) {
		// The cache's copy is no worse than this one, even with an older issue time.
		e.issued = issuedMillis
		e.epoch = p.epoch
	}
}
