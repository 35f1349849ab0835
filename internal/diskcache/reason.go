package diskcache

// Reason says why a lookup or an offer ended as it did.
type Reason uint8

// The reasons. Their names are labels of metrics.
const (
	ReasonOK            Reason = iota
	ReasonNotCacheable         // the traffic class is not cached
	ReasonNotCached            // no such part
	ReasonNotWritten           // its write has not ended
	ReasonTooOld               // past the class's fresh time
	ReasonFromFuture           // issued ahead of this machine's clock: its age is unknown
	ReasonUnvalidated          // purges of before it was cached may be unknown
	ReasonPurgesUnknown        // discovery has been unreachable for too long
	ReasonPurged
	ReasonLinkBusy      // the transfer would end after the latency objective
	ReasonDiskBusy      // as many reads as allowed are active
	ReasonDiskOff       // see Health
	ReasonRequestedOnce // requested for the first time in the sample period
	ReasonOutweighed    // what would give way is worth more
	ReasonAlreadyCached
	ReasonOverBudget // the write budget is spent
	ReasonQueueFull  // as many bytes as allowed wait to be written
	ReasonNoSlots    // freed slots wait for the next sync
	ReasonTooLarge
	ReasonGone // given way meanwhile
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

func (r Reason) String() string { return reasonNames[r] }

// Counts are totals since the start.
type Counts struct {
	Lookups      [reasonCount]int64 // by the reason of their verdict
	Offers       [reasonCount]int64
	Served       int64
	ServedStale  int64 // in place of a failure
	Revalidated  int64
	NotModified  int64 // served as 304
	BytesServed  int64
	BytesWritten int64 // record headers and the unused ends of slots included
	Evicted      int64
	Purged       int64
	ReadFailures int64
	HistoryGaps  int64
}
