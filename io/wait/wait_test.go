package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestForReturnsAfterDurationOrCancellation(t *testing.T) {
	for _, c := range []struct {
		wait, cancel, want time.Duration
	}{
		{wait: time.Second, cancel: time.Minute, want: time.Second},
		{wait: time.Minute, cancel: time.Second, want: time.Second},
		{wait: -time.Second, cancel: time.Minute, want: 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.cancel)
			defer cancel()
			began := time.Now()
			For(ctx, c.wait)
			if got := time.Since(began); got != c.want {
				t.Errorf("waited for %v with a context of %v: got %v, want %v", c.wait, c.cancel, got, c.want)
			}
		})
	}
}
