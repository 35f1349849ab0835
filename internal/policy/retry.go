package policy

// idempotency says what a second execution of a request does, and where repeats are recognized.
type idempotency uint8

const (
	idempotent idempotency = iota
	keyedAll               // with an idempotency key that all endpoints share
	keyedZone              // ... that the endpoints of a zone share
	keyedCell              // ... that the endpoints of a cell share
	notIdempotent
)

// idempotencyOf returns the idempotency of a traffic class.
func idempotencyOf(effect Effect, group DedupGroup) idempotency {
	switch {
	case effect == EffectIdempotent:
		return idempotent
	case effect == EffectUnsafe:
		return notIdempotent
	case group == DedupGroupZone:
		return keyedZone
	case group == DedupGroupCell:
		return keyedCell
	}
	return keyedAll
}

// retryRules say what is permitted once an attempt may have been executed.
var retryRules = [...]struct {
	retry    bool // another attempt
	reject   bool // telling the client that it may repeat the request
	windowed bool // another attempt within the dedup window of the first only
	sameZone bool // another attempt in the zone of the first only
	sameCell bool // another attempt in the cell of the first only
}{
	idempotent:    {retry: true, reject: true},
	keyedAll:      {retry: true, reject: true, windowed: true},
	keyedZone:     {retry: true, windowed: true, sameZone: true},
	keyedCell:     {retry: true, windowed: true, sameZone: true, sameCell: true},
	notIdempotent: {},
}

// attemptPermitted reports whether the request may be sent to an endpoint without the danger of a second effect. The
// first attempt always may.
func (r *Router) attemptPermitted(req *request, ep *endpoint) bool {
	if !req.maybeExecuted() {
		return true
	}
	rule := &retryRules[req.class.idempotency]
	first := &req.attempts[req.firstExecuted]
	return rule.retry &&
		(!rule.windowed || r.now-first.sentAt < req.class.dedupWindow) &&
		(!rule.sameZone || ep.zone == first.endpoint.zone) &&
		(!rule.sameCell || ep.cell == first.endpoint.cell)
}

// startDedupWindow lets the request's dedup window run from the attempt that is about to be sent, unless an earlier
// attempt may have been executed.
func (req *request) startDedupWindow() {
	if !req.maybeExecuted() {
		req.firstExecuted = len(req.attempts)
	}
}

// dedupWindowEnd is the time before which the request's next attempt must be written; 0: there is no such bound.
func (req *request) dedupWindowEnd() int64 {
	if !req.maybeExecuted() || !retryRules[req.class.idempotency].windowed {
		return 0
	}
	return req.attempts[req.firstExecuted].sentAt + req.class.dedupWindow
}

// maxReadAttempts bounds the attempts of a read: one or two elsewhere may find what the first lacks, more only
// feed an overload.
const maxReadAttempts = 4

// maxAttempts bounds the request's attempts.
func (r *Router) maxAttempts(req *request) int {
	if req.class.write {
		return r.config.maxAttempts
	}
	return min(r.config.maxAttempts, maxReadAttempts)
}

// retry follows an attempt that ended without a response.
func (r *Router) retry(req *request) {
	switch {
	case req.inFlight(): // another attempt may bring one
	case req.class.write:
		r.retryWrite(req)
	case r.manyFillsFail() && req.attempts[len(req.attempts)-1].kind == attemptFill:
		r.rejectOrFail(req)
	default:
		r.startAttempt(req)
	}
}

// retryWrite sends a write again after a pause, or gives it up where that is not permitted or comes too late.
func (r *Router) retryWrite(req *request) {
	const (
		writeRetryPause = 60 * millisecond  // lets an overloaded origin recover
		answerReserve   = 2 * timerInterval // the sweep that sends the attempt, and one to answer in
	)
	req.retryAt = r.now + writeRetryPause
	retryForbidden := req.maybeExecuted() && !retryRules[req.class.idempotency].retry
	tooLate := req.retryAt+answerReserve >= req.deadline
	if retryForbidden || tooLate || len(req.attempts) >= r.config.maxAttempts {
		r.rejectOrFail(req)
	}
}

// manyFillsFail reports whether a quarter of the last attempts that might fill failed. Retries of reads would feed the
// overload then, at the cost of writes.
func (r *Router) manyFillsFail() bool {
	const failedOneIn = 4
	failed, all := countBad(r.fillSamples, r.now, minSamples)
	return failedOneIn*failed >= max(all, minSamples)
}

// lost reports whether an attempt's endpoint is ejected; or the source of its fill, and half the latency objective
// is over. Until then the cache may still answer, from its own copies or with what the source had begun to send; the
// other half is left for another attempt.
func (r *Router) lost(req *request, a *attempt) bool {
	const sourceWaitDivisor = 2 // of the class's latency objective
	sourceWait := req.class.latencyObjective / sourceWaitDivisor
	stuck := a.kind == attemptFill && a.source.health == ejected && r.now-a.sentAt > sourceWait
	return stuck || a.endpoint.health == ejected
}

// replaceLostAttempt goes on from an attempt that is in flight to an endpoint that was ejected, or that fills from
// one. Time in flight alone never leads here. Where the site allows no second attempt beside the first, that is
// withdrawn, and its end brings a retry.
func (r *Router) replaceLostAttempt(req *request) {
	switch {
	case req.class.idempotency != idempotent:
	case r.config.hedging:
		r.hedge(req)
	case r.config.cancel:
		r.emit(Action{Kind: ActionCancel, Request: req.id, Attempt: len(req.attempts) - 1})
	}
}

// hedge sends another attempt beside the one in flight, if an attempt and a cache are left for it.
func (r *Router) hedge(req *request) {
	if len(req.attempts) < r.maxAttempts(req) && r.selectEndpoint(req, roleCache, nil) != nil {
		r.startAttempt(req)
	}
}
