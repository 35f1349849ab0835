package diskcache

// Reason says why a lookup or an offer ended as it did.
type Reason uint8

// The reasons. Their names, which String returns, are labels of metrics.
const (
	ReasonOK            Reason = iota // may be served, or is to be written
	ReasonNotCacheable                // the traffic class is not cached
	ReasonNotCached                   // no such part
	ReasonNotWritten                  // its write has not ended
	ReasonTooOld                      // past the class's fresh time
	ReasonFromFuture                  // issued ahead of this machine's clock: its age is unknown
	ReasonUnvalidated                 // purges of before it was cached may be unknown
	ReasonPurgesUnknown               // discovery has been unreachable for too long
	ReasonPurged                      // a purge covers the copy
	ReasonLinkBusy                    // the transfer would end after the latency objective
	ReasonDiskBusy                    // as many reads as allowed are active
	ReasonDiskOff                     // see Health
	ReasonRequestedOnce               // requested for the first time in the sample period
	ReasonOutweighed                  // what would give way is worth more
	ReasonAlreadyCached               // what is cached is no worse
	ReasonOverBudget                  // the write budget is spent
	ReasonQueueFull                   // as many bytes as allowed wait to be written
	ReasonNoSlots                     // freed slots wait for the next sync
	ReasonTooLarge                    // a sixteenth of the disk is the most
	ReasonGone                        // given way meanwhile
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
	ReasonGone:          "gone",
}

// String returns the reason's name in metrics, such as not_held for ReasonNotCached.
func (r Reason) String() string { return reasonNames[r] }

// Counts are totals since the start.
type Counts struct {
	Lookups      [reasonCount]int64 // by the reason of their verdict
	Offers       [reasonCount]int64 // by the reason of their end
	Served       int64              // copies served as they were, ServedStale included
	ServedStale  int64              // in place of a failure
	Revalidated  int64              // served after a cache has found them current
	NotModified  int64              // served as 304
	BytesServed  int64              // of bodies; a 304 counts as a twentieth of its body
	BytesWritten int64              // record headers and the unused ends of slots included
	Evicted      int64              // parts that gave way to others
	Purged       int64              // parts that were dropped since a purge covered them
	ReadFailures int64              // records that could not be read, or were corrupt
	HistoryGaps  int64              // calls of HistoryGap
}
