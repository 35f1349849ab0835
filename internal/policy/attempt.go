package policy

// attemptKind determines which servers may supply the copy for an attempt.
type attemptKind uint8

const (
	attemptFill       attemptKind = iota // cache, parent and origin
	attemptCacheOnly                     // the cache alone
	attemptParentOnly                    // cache and parent
	attemptKindCount                     // number of kinds
)

// AttemptCounts holds numbers of attempts by kind: fill, cache-only, parent-only. They are whole numbers, kept as
// floats for comparison with fractional limits.
type AttemptCounts [attemptKindCount]float64

// attempt is one transmission of a request to an endpoint.
type attempt struct {
	endpoint *endpoint
	source   *endpoint // of its fill; equal to endpoint: no fill
	sentAt   int64
	kind     attemptKind
	inFlight bool
	lost     bool // its endpoint or source was ejected, which the request has handled
	late     bool // already recorded as late or refused
}

// release frees the capacity that an attempt occupies.
func (a *attempt) release() {
	a.inFlight = false
	a.endpoint.limiters[a.kind].inFlight--
	a.endpoint.inFlight--
}

// plan is an attempt that is about to be sent.
type plan struct {
	target, source *endpoint
	kind           attemptKind
	mode           FillMode
	staleGrace     int64 // how far a copy may exceed its class's freshness time
	cachePriority  int
}

// startAttempt sends the request to an endpoint, or rejects or fails it if no attempt is possible.
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

// avoidOverload changes the plan of a read whose fill is shed, or whose target is saturated. An idle cache replaces a
// saturated target, unless the fill is shed. Otherwise the plan becomes a cache-only or a parent-only attempt. Each of
// them is considered once per request: the first attempt without capacity considers the cache-only one, the next
// attempt, whatever the result of the first, the parent-only one. It returns false if no alternative is left.
func (r *Router) avoidOverload(req *request, p *plan) bool {
	// Above this utilization of the link from the parents, responses to parent-only attempts are late as well.
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

// planFill sets how the target of a read fills, and whether it keeps the copy.
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

// send sends the planned attempt and accounts for the capacity that it occupies.
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

// outcomeMeanings maps the outcome of an attempt to an input for its request and a signal for its endpoint.
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
	OutcomeCancelled:         {inputMaybeExecuted, signalNone},
	OutcomeSkipped:           {inputNotExecuted, signalNone},
}

// loadLinkUse is the key in load reports for the utilization of a zone's link from the parents.
const loadLinkUse = "x1"

// endAttempt processes the end of an attempt. ep and req are nil if unknown.
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

// recordOutcome updates the capacity estimates of the endpoint, the source and the origin after an attempt's end.
func (r *Router) recordOutcome(e *Event, req *request, a *attempt) {
	if e.Outcome == OutcomeDone && !e.NotModified && req.transferTime == 0 && !req.class.write {
		req.class.learnTransferTime(req.object, e.RTT)
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
		req.sheddingDraw = 1 // a failing origin gets no further fill of this request
	}
	if significant {
		r.fillAttemptSamples = addSample(r.fillAttemptSamples, r.now, e.Outcome != OutcomeDone)
	}
}

// showsCapacity reports whether an attempt's end indicates how much capacity its endpoint has. Cancelled and skipped
// attempts and connection resets do not, nor do errors without a reason where caches give reasons.
func (r *Router) showsCapacity(e *Event) bool {
	switch e.Outcome {
	case OutcomeCancelled, OutcomeConnectionReset, OutcomeSkipped:
		return false
	case OutcomeError:
		return e.Reason != ReasonNone || !r.config.reasonsGiven
	}
	return true
}

// recordFailed records the endpoints that failed the request, so that they are tried after all others. After a timeout
// the source may be the cause.
func (req *request) recordFailed(e *Event, a *attempt) {
	if a.kind == attemptFill {
		req.failed = append(req.failed, a.endpoint)
	}
	if a.source != a.endpoint && (e.Reason.SourceFailed() || e.Outcome == OutcomeTimeout) {
		req.failed = append(req.failed, a.source)
	}
}

// observeAttempt records whether an attempt was on time. A late attempt counts once, at its end or when it becomes
// overdue, whichever is earlier.
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
