package policy

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// The outcomes. The zero value is none of them: an end that nothing is known of.
const (
	OutcomeUnknown           Outcome = iota // not known
	OutcomeDone                             // a response came whole
	OutcomeError                            // the server answered with an error
	OutcomeBusy                             // the server refused for lack of capacity
	OutcomeMiss                             // the cache or parent has no copy and may not fetch one
	OutcomeTimeout                          // nothing came within the attempt's time limit
	OutcomeConnectionRefused                // no connection, so that nothing was sent
	OutcomeConnectionReset                  // the connection broke after something was sent
	OutcomeCanceled                         // withdrawn by the router after something was sent
	OutcomeSkipped                          // withdrawn before anything was executed
)

var outcomeNames = [...]string{
	OutcomeUnknown:           "",
	OutcomeDone:              "done",
	OutcomeError:             "err",
	OutcomeBusy:              "busy",
	OutcomeMiss:              "enoent",
	OutcomeTimeout:           "etimedout",
	OutcomeConnectionRefused: "econnrefused",
	OutcomeConnectionReset:   "econnreset",
	OutcomeCanceled:          "ecanceled",
	OutcomeSkipped:           "skipped",
}

// String returns the outcome's name in records and on the simulator's wire.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return ""
}

// NeverExecuted reports whether the outcome proves that the attempt was not executed.
func (o Outcome) NeverExecuted() bool {
	switch o {
	case OutcomeBusy, OutcomeMiss, OutcomeConnectionRefused, OutcomeSkipped:
		return true
	}
	return false
}

// Reason is the note that a cache's answer carries: where the copy came from, or why there is none. Its
// numbers are those of the simulator's wire.
type Reason int

// The reasons. Those from ReasonUpstreamBusy on say that no fill was had.
const (
	ReasonNone         Reason = iota // no note, or an unknown one
	ReasonHit                        // from the cache
	ReasonMiss                       // filled from a copy of the source
	ReasonMissOrigin                 // filled by the origin
	ReasonCoalesced                  // waited for another request's fill
	ReasonStale                      // from the cache, older than its freshness time
	ReasonUpstreamBusy               // the source refused the fill
	ReasonUpstreamDown               // the source was out of reach
	ReasonUpstreamMiss               // the source has no copy and may not fetch one
	ReasonNoFill                     // the cache was not to fill
	ReasonOriginError                // the origin failed the fill
)

// SourceFailed reports whether the note says that the fill's source gave no copy.
func (r Reason) SourceFailed() bool { return r >= ReasonUpstreamBusy && r != ReasonNoFill }
