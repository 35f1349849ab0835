// Package diskbench plays simulated load against the disk tier's decisions, to weigh
// their variants: no disk, no sockets, no clock. Its figures are simulated.
package diskbench

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"quilldoor/internal/diskcache"
)

// Workload describes requests to a tier.
type Workload struct {
	Requests       int
	Objects        int     // of the catalogue
	Skew           float64 // exponent of Zipf's law over objects
	OneTimeShare   float64 // share of txns that go to objects wanted once
	DriftInterval  int     // after so many txns one object changes its place in popularity
	MultipartShare float64 // share of objects with several parts
	DiskShare      float64 // size of the disk as a share of the catalogue's bytes
	Seed           uint64
}

// Result is what became of it. Warm-up, the first third, is left out.
type Result struct {
	Requests, Hits     int
	Bytes, BytesServed int64 // asked for, and served from disk
	BytesWritten       int64
	Evicted            int64
	Parts              int
	Outweighed, Second int64 // offers refused
}

// HitRatio is the share of requests that the disk cache answers.
func (r *Result) HitRatio() float64 { return float64(r.Hits) / float64(r.Requests) }

// ByteHitRatio is the share of bytes that the disk cache answers.
func (r *Result) ByteHitRatio() float64 { return float64(r.BytesServed) / float64(r.Bytes) }

// WrittenPerServed is the bytes written for each byte served from disk.
func (r *Result) WrittenPerServed() float64 { return float64(r.BytesWritten) / float64(r.BytesServed) }

// object is one of the catalogue: its parts have one size but for the last.
type object struct {
	name  string
	parts int
	size  int // of a part
}

const slot = 16 << 10

func (o *object) part(i int) int {
	if i == o.parts-1 {
		return o.size*2/3 + 1
	}
	return o.size
}

// draw makes an object: a video of up to 60 parts of 60 to 240 kB, or a page of
// 2 to 40 kB. Sizes are even in their logarithm.
func draw(r *rand.Rand, name string, video bool) object {
	between := func(low, high float64) int { return int(low * math.Pow(high/low, r.Float64())) }
	if video {
		return object{name, between(4, 60), between(60e3, 240e3)}
	}
	return object{name, 1, between(2e3, 40e3)}
}

// Run plays a load against a variant of the decisions.
func Run(l Workload, choice diskcache.Variant) Result {
	r := rand.New(rand.NewPCG(l.Seed, 1))
	catalogue := make([]object, l.Objects)
	weights := make([]float64, l.Objects)
	total := int64(0)
	for i := range catalogue {
		o := draw(r, fmt.Sprint("o", i), r.Float64() < l.MultipartShare)
		catalogue[i], weights[i] = o, math.Pow(float64(i+1), -l.Skew)
		total += int64(o.parts) * int64(o.size)
	}
	popular := distuv.NewCategorical(weights, r)
	now := int64(1e12)
	slots := int(float64(total) * l.DiskShare / slot)
	t := diskcache.New(now, diskcache.Settings{
		Classes: []diskcache.TrafficClass{{Name: "page", FreshTime: 1 << 60, SLA: 1e6, Cacheable: true}}, SlotBytes: slot,
		Slots: slots, MaxEntries: slots, WriteBytesPerSecond: 1 << 40, QueueBytes: 1 << 40, SyncInterval: 0, MaxReads: 1, PurgeTime: 1, MaxRequestTime: 1,
		Variant: choice,
	})
	var out Result
	var written0 int64
	once := 0
	for n := 0; n < l.Requests; {
		var o object
		if r.Float64() < l.OneTimeShare {
			once++
			o = draw(r, fmt.Sprint("once", once), r.Float64() < l.MultipartShare)
		} else {
			o = catalogue[int(popular.Rand())]
		}
		// A viewer goes on to the next part with nine chances in ten.
		for part := 0; part < o.parts && (part == 0 || r.IntN(10) > 0); part++ {
			n++
			now += 1000
			if l.DriftInterval > 0 && n%l.DriftInterval == 0 {
				a, b := r.IntN(l.Objects), r.IntN(l.Objects)
				catalogue[a], catalogue[b] = catalogue[b], catalogue[a]
			}
			if n == l.Requests/3 {
				out, written0 = Result{}, t.Counts.BytesWritten
			}
			hit := txn(t, now, o.name, part, o.part(part))
			out.Requests++
			out.Bytes += int64(o.part(part))
			if hit {
				out.Hits++
				out.BytesServed += int64(o.part(part))
			}
		}
	}
	out.BytesWritten, out.Evicted, out.Parts = t.Counts.BytesWritten-written0, t.Counts.Evicted, t.Size().Parts
	out.Outweighed, out.Second = t.Counts.Offers[diskcache.ReasonOutweighed], t.Counts.Offers[diskcache.ReasonRequestedOnce]
	return out
}

// txn asks for a part, and offers it where it wasn't there.
func txn(t *diskcache.Policy, now int64, name string, part, size int) (hit bool) {
	a := diskcache.Request{Object: name, Part: int64(part), Remaining: 1e6}
	v, found := t.Lookup(now, &a)
	if v != diskcache.VerdictMiss {
		t.FinishRead(now, found.Ref, diskcache.ReadIntact)
		return true
	}
	length := size + 60 // the record's head and names
	if p, reason := t.Offer(now, &diskcache.Candidate{Request: a, Issued: now / 1000, Length: length}); reason == diskcache.ReasonOK {
		t.FinishWrite(p.Ref, length, true)
		t.TakeDrops()
		t.Synced()
	}
	return false
}
