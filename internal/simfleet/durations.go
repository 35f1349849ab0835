package simfleet

import "github.com/HdrHistogram/hdrhistogram-go"

// Durations are how long something took in many trials, in microseconds.
type Durations struct {
	*hdrhistogram.Histogram
	Missed int // trials in which it did not happen in time
}

func newDurations() *Durations {
	const (
		shortest          = millisecond
		longest           = 600 * second
		significantDigits = 3
	)
	return &Durations{Histogram: hdrhistogram.New(shortest, longest, significantDigits)}
}

// record adds a trial. No timeout allows a duration beyond the histogram's range, so there is no error to handle.
func (d *Durations) record(took int64, happened bool) {
	if !happened {
		d.Missed++
		return
	}
	_ = d.RecordValue(took)
}
