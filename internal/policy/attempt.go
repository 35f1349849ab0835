package policy

// attemptKind says how far an attempt may go for a copy.
type attemptKind uint8

const (
	attemptFill       attemptKind = iota // to the origin
	attemptCacheOnly                     // what the cache holds
	attemptParentOnly                    // what the parent holds
	attemptKindCount                     // how many there are
)

// AttemptCounts holds numbers of attempts by their kind: fills, cache-only, parent-only. They are whole; floats, since
// they are compared with limits that are not.
type AttemptCounts [attemptKindCount]float64

// attempt is one sending of a request to an endpoint.
type attempt struct {
	endpoint *endpoint
	source   *endpoint // that it fills from; the endpoint itself: from none
	sentAt   int64
	kind     attemptKind
	inFlight bool
	lost     bool // the endpoint or the source was ejected meanwhile, and the request has gone on
	late     bool // counted as overdue
}

// release frees the capacity that an attempt has taken.
func (a *attempt) release() {
	a.inFlight = false
	a.endpoint.limiters[a.kind].inFlight--
	a.endpoint.inFlight--
}

// plan is an attempt to be sent.
type plan struct {
	target, source *endpoint
	kind           attemptKind
	mode           FillMode
	staleGrace     int64 // by which a copy may be older than its class's freshness time
	cachePriority  int
}

// startAttempt sends the request to an endpoint, or answers it where nowhere is left.
func (r *Router) startAttempt(req *request) {
	req.retryAt = 0
	req.setCost()
	var p plan
	p.target, p.source = r.route(req)
	if p.target == nil || p.source == nil || req.deadline <= r.now || len(req.attempts) >= r.maxAttempts(req) ||
		!r.attemptPermitted(req, p.target) {
		r.rejectOrFail(req)
		return
	}
	if !req.class.write && !r.avoidOverload(req, &p) {
		r.rejectOrFail(req)
		return
	}
	if !req.class.write {
		r.planFill(req, &p)
	}
	r.send(req, &p)
}

// avoidOverload changes the plan of a read that the origin or its target has no capacity for: to another cache
// that is idle, else to what the cache holds, else to what the parent holds. The last two are tried once for each
// request: one attempt without capacity looks at the first, the next one at the second, whatever came of the first.
// False: nothing is left to try.
func (r *Router) avoidOverload(req *request, p *plan) bool {
	// Above this use of the link from the parents, transfers from there are late themselves.
	const maxLinkUse = 0.5
	shed := r.shedLoad(req)
	if p.target.role == roleOrigin || !shed && !r.saturated(req, &p.target.limiters[attemptFill]) {
		return true
	}
	if !shed {
		if other := r.selectEndpoint(req, roleCache, r.idle); other != nil {
			p.target = other
			return true
		}
	}
	req.fallback++ // attemptFill, then attemptCacheOnly, then attemptParentOnly
	switch {
	case req.fallback == attemptCacheOnly && !r.saturated(req, &p.target.limiters[attemptCacheOnly]):
		p.kind = attemptCacheOnly
		p.source = p.target
		p.staleGrace = req.class.staleGrace
		return true
	case req.fallback == attemptParentOnly && p.source.role == roleParent && p.target.linkUse < maxLinkUse &&
		!r.saturated(req, &p.target.limiters[attemptParentOnly]):
		p.kind = attemptParentOnly
		p.mode = FillNoFetch
		return true
	}
	return false
}

// planFill says how a read's target shall fill, and whether it shall keep the copy.
func (r *Router) planFill(req *request, p *plan) {
	if p.target.role == roleCache && p.kind != attemptCacheOnly {
		p.cachePriority = r.chooseCachePriority(p.target, req.key)
		if req.class.freshFor > 0 {
			p.mode |= FillBackground
		}
	}
	if r.config.coalesceFills {
		p.mode |= FillWaitFor
	}
}

// send sends an attempt.
func (r *Router) send(req *request, p *plan) {
	req.startDedupWindow()
	sendBefore := req.dedupWindowEnd()
	req.attempts = append(req.attempts, attempt{
		endpoint: p.target, source: p.source, sentAt: r.now, kind: p.kind, inFlight: true,
	})
	p.target.limiters[p.kind].inFlight++
	p.target.inFlight++
	if p.target.inFlight == 1 {
		p.target.unansweredSince = r.now
	}
	r.reserve(p.target, req)
	if p.source != p.target {
		r.reserve(p.source, req)
	}
	r.emit(Action{
		Kind:          ActionSend,
		Request:       req.id,
		Endpoint:      p.target.id,
		Source:        p.source.id,
		CachePriority: p.cachePriority,
		MaxAge:        r.maxAge(req, p.staleGrace),
		Timeout:       r.attemptTimeout(req, p.target),
		SendBefore:    sendBefore,
		FillMode:      p.mode,
	})
}

// outcomeMeanings say what an attempt's end means for its request and its endpoint.
var outcomeMeanings = [...]struct {
	input  input
	signal signal
}{
	OutcomeDone:              {inputFinal, signalAnswered},
	OutcomeError:             {inputMaybeExecuted, signalAnswered},
	OutcomeBusy:              {inputNotExecuted, signalAnswered},
	OutcomeMiss:              {inputNotExecuted, signalAnswered},
	OutcomeTimeout:           {inputMaybeExecuted, signalNone},
	OutcomeConnectionRefused: {inputNotExecuted, signalFailed},
	OutcomeConnectionReset:   {inputMaybeExecuted, signalFailed},
	OutcomeCanceled:          {inputMaybeExecuted, signalNone},
	OutcomeSkipped:           {inputNotExecuted, signalNone},
}

// loadLinkUse is the name that load reports have for the use of a zone's link from the parents.
const loadLinkUse = "x1"

// endAttempt takes in an attempt's end. An endpoint or request that is unknown is nil.
func (r *Router) endAttempt(e *Event, ep *endpoint, req *request) {
	if ep == nil || e.Outcome == OutcomeUnknown || int(e.Outcome) >= len(outcomeMeanings) {
		return
	}
	meaning := outcomeMeanings[e.Outcome]
	if use, reported := e.Load[loadLinkUse]; reported {
		ep.linkUse = use
	}
	r.observe(ep, meaning.signal)
	if req == nil || e.Attempt < 0 || e.Attempt >= len(req.attempts) || !req.attempts[e.Attempt].inFlight {
		return
	}
	a := &req.attempts[e.Attempt]
	a.release()
	r.recordOutcome(e, req, a)
	if e.Final {
		r.advance(req, inputFinal)
		return
	}
	req.recordFailed(e, a)
	r.advance(req, meaning.input)
}

// recordOutcome takes from an attempt's end what it shows of the capacity of the endpoint, the source and the origin.
func (r *Router) recordOutcome(e *Event, req *request, a *attempt) {
	if e.Outcome == OutcomeDone && req.transferTime == 0 && !req.class.write {
		req.class.transferTimes = addRecent(req.class.transferTimes, e.RTT)
	}
	significant := r.showsCapacity(e)
	if significant && e.Outcome != OutcomeMiss {
		r.observeAttempt(req, a, e.Outcome == OutcomeDone && !r.overdue(req, a))
	}
	if a.kind != attemptFill || req.class.write {
		return
	}
	switch {
	case e.Outcome == OutcomeDone && e.Reason == ReasonMissOrigin:
		const shortest = 1 * millisecond
		r.originDelay.observeReported(r.now, float64(max(e.OriginWait, shortest)))
	case e.Reason == ReasonOriginError:
		r.originDelay.observeFailure()
		req.sheddingDraw = 1 // one fill is enough of an origin that fails
	}
	if significant {
		r.fillSamples = addSample(r.fillSamples, r.now, e.Outcome != OutcomeDone)
	}
}

// showsCapacity reports whether an attempt's end shows anything of its endpoint's capacity. That of one that was never
// sent does not, nor a reset; nor, where reasons are given, an error without one.
func (r *Router) showsCapacity(e *Event) bool {
	switch e.Outcome {
	case OutcomeCanceled, OutcomeConnectionReset, OutcomeSkipped:
		return false
	case OutcomeError:
		return e.Reason != ReasonNone || !r.config.reasonsGiven
	}
	return true
}

// recordFailed notes which endpoints failed the request, to be tried after all others. After a time-out the source
// may be what failed.
func (req *request) recordFailed(e *Event, a *attempt) {
	if a.kind == attemptFill {
		req.failed = append(req.failed, a.endpoint)
	}
	if a.source != a.endpoint && (e.Reason.SourceFailed() || e.Outcome == OutcomeTimeout) {
		req.failed = append(req.failed, a.source)
	}
}

// observeAttempt takes in whether an attempt was in time, once: when it ends or when it is overdue.
func (r *Router) observeAttempt(req *request, a *attempt, timely bool) {
	if a.late || a.endpoint.role == roleOrigin || req.class.write {
		return
	}
	a.late = !timely
	if a.kind == attemptFill && !timely && a.inFlight {
		r.originDelay.observeOverdue(float64(r.now - a.sentAt))
	}
	r.adjustLimit(&a.endpoint.limiters[a.kind], timely)
	if a.kind != attemptCacheOnly && a.endpoint.role == roleCache {
		r.observeFill(a.source, timely)
	}
}
