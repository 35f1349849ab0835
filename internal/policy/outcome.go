package policy

// Outcome is how an attempt or a health check ended.
type Outcome uint8

// The outcomes. The zero value, OutcomeUnknown, is not an outcome: the attempt's end is not known.
const (
	OutcomeUnknown           Outcome = iota // no outcome is known
	OutcomeDone                             // a complete response was received
	OutcomeError                            // the server responded with an error
	OutcomeBusy                             // the server refused the attempt for lack of capacity
	OutcomeMiss                             // the cache or parent has no copy and may not fetch one
	OutcomeTimeout                          // no response within the attempt's time limit
	OutcomeConnectionRefused                // no connection was established, so nothing was sent
	OutcomeConnectionReset                  // the connection broke after data was sent
	OutcomeCancelled                        // cancelled by the router after data was sent
	OutcomeSkipped                          // cancelled by the router before it was executed
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
	OutcomeCancelled:         "ecanceled",
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

// Reason is the detail in a cache's response: the source of the copy, or the cause of its absence. Its values are
// those of the simulator's wire.
type Reason int

// The reasons. ReasonUpstreamBusy and those after it mean that the object was not filled.
const (
	ReasonNone         Reason = iota // no reason given, or an unknown one
	ReasonHit                        // from the cache
	ReasonMiss                       // filled from a copy held by the source
	ReasonMissOrigin                 // filled by the origin
	ReasonCoalesced                  // filled by the fill of another request
	ReasonStale                      // from the cache, older than its freshness time
	ReasonUpstreamBusy               // the source refused the fill
	ReasonUpstreamDown               // the source was unreachable
	ReasonUpstreamMiss               // the source has no copy and may not fetch one
	ReasonNoFill                     // the attempt did not permit a fill
	ReasonOriginError                // the fill failed at the origin
)

// SourceFailed reports whether the fill failed because its source returned no copy.
func (r Reason) SourceFailed() bool { return r >= ReasonUpstreamBusy && r != ReasonNoFill }
