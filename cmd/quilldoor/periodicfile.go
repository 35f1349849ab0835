package main

import (
	"context"
	"time"
)

// newFileSuffix is that of a file which is renamed once it is whole.
const newFileSuffix = ".new"

// writePeriodically calls write until the context ends. A failure is logged once, until
// it succeeds again.
func (r *router) writePeriodically(ctx context.Context, interval time.Duration, failure string, write func() error) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for failed := false; ; {
		err := write()
		if err != nil && !failed {
			r.log.WithError(err).Error(failure)
		}
		failed = err != nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
