package simfleet

import "github.com/HdrHistogram/hdrhistogram-go"

// Durations is a histogram of the time that an event took in repeated trials, in microseconds.
type Durations struct {
	*hdrhistogram.Histogram
	Missed int // trials in which the event did not occur within the timeout
}

func newDurations() *Durations {
	const (
		shortest          = millisecond
		longest           = 600 * second
		significantDigits = 3
	)
	return &Durations{Histogram: hdrhistogram.New(shortest, longest, significantDigits)}
}

// record adds a trial. All timeouts are within the histogram's range, so RecordValue cannot fail.
func (d *Durations) record(elapsed int64, occurred bool) {
	if !occurred {
		d.Missed++
		return
	}
	_ = d.RecordValue(elapsed)
}
