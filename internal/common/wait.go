package common

import (
	"context"
	"time"
)

// Sleep waits for d. It reports false if ctx ended before d had passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Millis returns d in milliseconds.
func Millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
