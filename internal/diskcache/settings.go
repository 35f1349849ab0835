package diskcache

const second = int64(1_000_000) // microseconds

// TrafficClass holds the properties of a traffic class that the disk cache uses.
// Durations are microseconds.
type TrafficClass struct {
	Name             string
	FreshFor         int64 // time after its issue during which a copy may be served without revalidation
	StaleGrace       int64 // time after FreshFor during which it may be served in place of a failure (stale-if-error)
	LatencyObjective int64 // a copy whose transfer would take longer is not served from disk
	Cacheable        bool  // idempotent, no write, with a fresh time, and enabled by the operator
}

// Settings sets the size and the limits of the disk cache. Sizes are bytes, durations
// microseconds. No field has a default.
type Settings struct {
	Classes []TrafficClass // 256 at most

	SlotBytes  int // unit of allocation on disk: a record takes whole slots
	Slots      int // number of slots on disk
	MaxEntries int // maximum number of cached parts

	WriteBytesPerSecond int64 // write budget, averaged over time
	QueueBytes          int64 // maximum number of bytes that wait to be written
	SyncInterval        int64 // time after which written records are made durable
	MaxReads            int   // maximum number of concurrent reads, queued ones included

	FlowBytesPerSecond int64 // rate of one transfer to a client; 0: unlimited
	LinkBytesPerSecond int64 // rate of the router's own link; 0: unlimited

	PurgeTime          int64 // time that caches take at most to drop the copies that a purge covers
	MaxRequestTime     int64 // maximum time between a request and its response
	DiscoveryLossLimit int64 // once discovery is unreachable for so long, purges may have been missed

	// Seed of the hashes that identify parts and objects (Key and Object). It keeps
	// clients from choosing names whose hashes collide. It must be the seed that the
	// index on disk was written with.
	Seed uint64

	Variant Variant
}

// Variant selects an admission policy for comparisons. Routers use the zero value.
type Variant struct {
	AdmitAll             bool // no frequency estimate: plain LRU
	AdmitOnFirstRequest  bool // admit a part on its first request, too
	WeighByRequests      bool // compare numbers of requests, not requests times slots
	AdmitOnSecondRequest bool // admit from the second request on, whatever is evicted
	EstimateWholeObject  bool // estimate the frequency of the object, not of the part
}
