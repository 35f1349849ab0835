package diskcache

// Request is a read request that the disk cache may answer.
type Request struct {
	ClassIndex int // place in Settings.Classes
	Object     string
	Part       int64
	Group      uint8 // of objects that are purged together
	Remaining  int64 // microseconds until its timeout
}

// Verdict says what may be done with a cached part.
type Verdict uint8

// The verdicts.
const (
	VerdictMiss       Verdict = iota // forward the request
	VerdictServe                     // read the part and answer with it
	VerdictRevalidate                // read the part, and ask a cache by its ETag whether it is current
)

// LookupResult is a part that may be read; with VerdictMiss Reason alone is set.
type LookupResult struct {
	Reason       Reason // of the verdict; ReasonOK with VerdictServe
	Ref          Ref
	Extents      []Extent // where the record is, in the order in which it fills them
	Length       int      // of the record in bytes, its header included
	StaleIfError bool     // with VerdictRevalidate: may be served in place of a failure
}

// Lookup counts a request and says what may be done. With VerdictServe and
// VerdictRevalidate the read that follows must be ended by FinishRead.
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
		if !p.inTime(now, entry, class, request) {
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

// inTime tells whether a copy sent now arrives within the latency objective. On a full
// link of the router's own it does not, while a cache has a link of its own.
func (p *Policy) inTime(now int64, e *entry, class *TrafficClass, request *Request) bool {
	end := p.bandwidth.transferEnd(now, int64(e.length))
	return end-now <= min(class.LatencyObjective, request.Remaining)
}

// freshness says whether a copy may be served as it is (ReasonOK), or why it must be
// revalidated first.
func (p *Policy) freshness(now int64, e *entry, class *TrafficClass) Reason {
	const maxClockLead = 1 * second // clocks of one installation agree better
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

// withinGrace tells whether a stale copy may still stand in for a failure.
func withinGrace(now int64, e *entry, class *TrafficClass) bool {
	return ageOf(now, e) <= class.FreshFor+class.StaleGrace
}

// ReadOutcome is how a read ended.
type ReadOutcome uint8

// The outcomes of a read.
const (
	ReadIntact  ReadOutcome = iota // whole, and the part that the Ref names
	ReadCorrupt                    // torn, flipped, cut short or unreadable
	ReadUnused                     // no memory for it, or another part with the same hash
)

// FinishRead ends a read that Lookup allowed. It tells whether the copy may still be used
// (a purge may have come meanwhile, or the part given way), and whether a failure has
// changed the health.
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

// ReserveServe tells, at the moment a response is to be written, whether a copy may be
// served as it is (or, with staleIfError, in place of a failure), and takes the link's
// time for it. Bytes are the body's; with notModified the client has it, and gets a header
// alone.
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
	const bodyPerHeader = 20 // a 304 counts as a body of a twentieth of the size
	if notModified {
		p.Counts.NotModified++
		bytes /= bodyPerHeader
	}
	p.Counts.BytesServed += bytes
	p.bandwidth.reserve(now, bytes)
}

// Revalidated says that a cache has found the copy's ETag to be that of the copy which
// it would serve, issued by the origin at issuedMillis (Unix): the same bytes. Bytes are
// those sent to the client from here.
func (p *Policy) Revalidated(now int64, ref Ref, issuedMillis int64, bytes int64) {
	p.Counts.Revalidated++
	p.countServed(now, bytes, false)
	e := p.find(ref)
	if e == nil {
		return
	}
	e.issued = max(e.issued, issuedMillis)
	if p.purgesComplete(now, issuedMillis) {
		// A copy that a cache served under an older issue is no worse than this one.
		e.issued = issuedMillis
		e.epoch = p.epoch
	}
}
