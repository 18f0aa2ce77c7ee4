// Package wait provides delays that end early when a context is cancelled.
package wait

import (
	"context"
	"time"
)

// For waits for a duration, or returns early when the context ends. It returns at once
// for a duration of zero or less.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
