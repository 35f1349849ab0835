package diskcache

// Reason is the reason for the result of a lookup or an offer.
type Reason uint8

// The reasons. Their names, as returned by String, are metric labels.
const (
	ReasonOK            Reason = iota // the copy may be served, or is to be written
	ReasonNotCacheable                // the traffic class is not cached
	ReasonNotCached                   // no entry for the part
	ReasonNotWritten                  // the write of the part has not ended
	ReasonTooOld                      // lookup: past the class's fresh time; offer: past its stale grace, too
	ReasonFromFuture                  // issued ahead of this machine's clock: the age is unknown
	ReasonUnvalidated                 // the copy predates a gap in the purge history
	ReasonPurgesUnknown               // discovery has been unreachable for too long
	ReasonPurged                      // a purge covers the copy
	ReasonLinkBusy                    // the transfer would exceed the latency objective or the request's timeout
	ReasonDiskBusy                    // MaxReads reads are active
	ReasonDiskOff                     // the disk is not used in its current Health
	ReasonRequestedOnce               // first request in the sample period
	ReasonOutweighed                  // the parts to be evicted are worth more
	ReasonAlreadyCached               // the cached copy is no worse
	ReasonOverBudget                  // the write budget is spent
	ReasonQueueFull                   // more than QueueBytes would wait to be written
	ReasonNoSlots                     // too few slots are free; those of dropped parts wait for the next sync
	ReasonTooLarge                    // the record would take more than a sixteenth of the slots, or one of its names is too long
	ReasonRemoved                     // removed in the meantime; no result has this reason now
	reasonCount
)

// ReasonCount is the number of reasons.
const ReasonCount = int(reasonCount)

var reasonNames = [reasonCount]string{
	ReasonOK:            "good",
	ReasonNotCacheable:  "not_keepable",
	ReasonNotCached:     "not_held",
	ReasonNotWritten:    "not_written",
	ReasonTooOld:        "too_old",
	ReasonFromFuture:    "from_ahead",
	ReasonUnvalidated:   "unvouched",
	ReasonPurgesUnknown: "blind",
	ReasonPurged:        "purged",
	ReasonLinkBusy:      "link_busy",
	ReasonDiskBusy:      "disk_busy",
	ReasonDiskOff:       "disk_off",
	ReasonRequestedOnce: "wanted_once",
	ReasonOutweighed:    "outweighed",
	ReasonAlreadyCached: "held_already",
	ReasonOverBudget:    "over_budget",
	ReasonQueueFull:     "queue_full",
	ReasonNoSlots:       "no_slots",
	ReasonTooLarge:      "too_large",
	ReasonRemoved:       "gone",
}

// String returns the reason's metric label, such as not_held for ReasonNotCached.
func (r Reason) String() string { return reasonNames[r] }

// Counts are totals since the start.
type Counts struct {
	Lookups      [reasonCount]int64 // by the Reason of their result
	Offers       [reasonCount]int64 // by the Reason of their result
	Served       int64              // copies served without revalidation, ServedStale included
	ServedStale  int64              // copies served in place of a failure
	Revalidated  int64              // copies that a cache has found current
	NotModified  int64              // copies served as 304
	BytesServed  int64              // of bodies; a 304 counts as a twentieth of its body
	BytesWritten int64              // record headers and the unused ends of slots included
	Evicted      int64              // parts removed to make room for others
	Purged       int64              // parts removed because a purge covers them
	ReadFailures int64              // records that could not be read or were corrupt
	HistoryGaps  int64              // calls of HistoryGap
}
