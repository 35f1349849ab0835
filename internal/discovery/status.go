package discovery

import "time"

// Status is how a Watcher stands with the service.
type Status struct {
	OpenPolls int
	SentPolls int64 // since the start, as the bytes
	Bytes     int64 // received
	// KnownAt is when the latest poll that was answered was sent: all events up to then are
	// known. It is zero before the first response.
	KnownAt time.Time
}

// Status returns the latest status. It may be called on any goroutine.
func (w *Watcher) Status() Status {
	status := *w.status.Load()
	status.Bytes = w.receivedBytes.Load()
	return status
}

func (w *Watcher) updateStatus() {
	w.status.Store(&Status{
		OpenPolls: len(w.schedule.open),
		SentPolls: int64(w.lastSequence),
		KnownAt:   w.schedule.knownAt,
	})
}
