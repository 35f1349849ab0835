package main

import (
	"context"
	"time"
)

// newFileSuffix is appended to the name of a file that is being written. The file is renamed
// once it is complete.
const newFileSuffix = ".new"

// writePeriodically calls write at once and then at each interval until the context ends. Of
// successive failures only the first one is logged, with the given message.
func (r *router) writePeriodically(ctx context.Context, interval time.Duration, failureMessage string, write func() error) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for failed := false; ; {
		err := write()
		if err != nil && !failed {
			r.log.WithError(err).Error(failureMessage)
		}
		failed = err != nil
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
