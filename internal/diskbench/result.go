package diskbench

// Result counts requests and bytes after the warm-up, which is the first third of the requests.
type Result struct {
	Requests       int
	Hits           int   // requests answered from disk
	BytesRequested int64 // of bodies
	BytesServed    int64 // of bodies, from disk
	BytesWritten   int64 // including record headers and the unused ends of slots
}

// HitRatio is the share of requests that are served from disk.
func (r *Result) HitRatio() float64 { return float64(r.Hits) / float64(r.Requests) }

// ByteHitRatio is the share of requested bytes that are served from disk.
func (r *Result) ByteHitRatio() float64 { return float64(r.BytesServed) / float64(r.BytesRequested) }

// WrittenPerServed is the number of bytes written for each byte served from disk.
func (r *Result) WrittenPerServed() float64 { return float64(r.BytesWritten) / float64(r.BytesServed) }

// count adds a request for a part of the given size in bytes.
func (r *Result) count(size int, hit bool) {
	r.Requests++
	r.BytesRequested += int64(size)
	if hit {
		r.Hits++
		r.BytesServed += int64(size)
	}
}
