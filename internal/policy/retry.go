package policy

// idempotency states whether a request may be executed twice, and where its idempotency key is recognized.
type idempotency uint8

const (
	idempotent idempotency = iota
	keyedAll               // has an idempotency key that all endpoints recognize
	keyedZone              // has an idempotency key that the endpoints of a zone recognize
	keyedCell              // has an idempotency key that the endpoints of a cell recognize
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

// retryRules state which retries and rejections are permitted once an attempt may have been executed.
var retryRules = [...]struct {
	retry    bool // another attempt is permitted
	reject   bool // a rejection is permitted, after which the client may repeat the request
	windowed bool // another attempt must be within the dedup window of the first
	sameZone bool // another attempt must be in the zone of the first
	sameCell bool // another attempt must be in the cell of the first
}{
	idempotent:    {retry: true, reject: true},
	keyedAll:      {retry: true, reject: true, windowed: true},
	keyedZone:     {retry: true, windowed: true, sameZone: true},
	keyedCell:     {retry: true, windowed: true, sameZone: true, sameCell: true},
	notIdempotent: {},
}

// attemptPermitted reports whether the request can be sent to an endpoint without the risk of a second effect. The
// first attempt is always permitted.
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

// startDedupWindow starts the request's dedup window at the attempt that is about to be sent, unless an earlier attempt
// may have been executed.
func (req *request) startDedupWindow() {
	if !req.maybeExecuted() {
		req.firstExecuted = len(req.attempts)
	}
}

// dedupWindowEnd returns the time before which the request's next attempt must be written, 0 if there is no bound.
func (req *request) dedupWindowEnd() int64 {
	if !req.maybeExecuted() || !retryRules[req.class.idempotency].windowed {
		return 0
	}
	return req.attempts[req.firstExecuted].sentAt + req.class.dedupWindow
}

// maxReadAttempts bounds the attempts of a read: one or two at other endpoints may succeed after a failure, more only
// increase an overload.
const maxReadAttempts = 4

// maxAttempts returns the greatest number of attempts of the request.
func (r *Router) maxAttempts(req *request) int {
	if req.class.write {
		return r.config.maxAttempts
	}
	return min(r.config.maxAttempts, maxReadAttempts)
}

// retry decides how the request continues after an attempt that ended without a response.
func (r *Router) retry(req *request) {
	switch {
	case req.inFlight(): // that attempt may still return a response
	case req.class.write:
		r.retryWrite(req)
	case r.manyFillsFail() && req.attempts[len(req.attempts)-1].kind == attemptFill:
		r.rejectOrFail(req)
	default:
		r.startAttempt(req)
	}
}

// retryWrite schedules another attempt of a write after a pause, or rejects or fails the write if another attempt is
// not permitted or would come too late.
func (r *Router) retryWrite(req *request) {
	const (
		writeRetryPause = 60 * millisecond  // lets an overloaded origin recover
		answerReserve   = 2 * timerInterval // one interval until the sweep that sends the attempt, one for the response
	)
	req.retryAt = r.now + writeRetryPause
	retryForbidden := req.maybeExecuted() && !retryRules[req.class.idempotency].retry
	tooLate := req.retryAt+answerReserve >= req.deadline
	if retryForbidden || tooLate || len(req.attempts) >= r.config.maxAttempts {
		r.rejectOrFail(req)
	}
}

// manyFillsFail reports whether at least a quarter of the last fill attempts ended without a response. Retries of reads
// would then increase the overload, at the expense of writes.
func (r *Router) manyFillsFail() bool {
	const failedOneIn = 4
	failed, all := countBad(r.fillAttemptSamples, r.now, minSamples)
	return failedOneIn*failed >= max(all, minSamples)
}

// lost reports whether an attempt needs replacement: its endpoint is ejected, or the source of its fill is ejected and
// half the latency objective has passed. During that half the cache may still respond, from its own copies or with data
// that the source had begun to send. The other half remains for another attempt.
func (r *Router) lost(req *request, a *attempt) bool {
	const sourceWaitDivisor = 2 // of the class's latency objective
	sourceWait := req.class.latencyObjective / sourceWaitDivisor
	stuck := a.kind == attemptFill && a.source.health == ejected && r.now-a.sentAt > sourceWait
	return stuck || a.endpoint.health == ejected
}

// replaceLostAttempt replaces a lost attempt of an idempotent request: by a hedge where the site permits hedging, else
// by the retry that follows the end of the cancelled attempt, where the site permits cancelling. Time in flight alone
// never makes an attempt lost.
func (r *Router) replaceLostAttempt(req *request) {
	switch {
	case req.class.idempotency != idempotent:
	case r.config.hedging:
		r.hedge(req)
	case r.config.cancel:
		r.emit(Action{Kind: ActionCancel, Request: req.id, Attempt: len(req.attempts) - 1})
	}
}

// hedge sends another attempt beside the one in flight, if the request has an attempt left and a cache is usable.
func (r *Router) hedge(req *request) {
	if len(req.attempts) < r.maxAttempts(req) && r.selectEndpoint(req, roleCache, nil) != nil {
		r.startAttempt(req)
	}
}
