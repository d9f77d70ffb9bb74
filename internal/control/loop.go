package control

import (
	"context"
	"time"

	"laburnumgrade/internal/port"
)

// every runs the work at each interval until the context ends.
func every(ctx context.Context, interval time.Duration, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			work()
		}
	}
}

// whileLeading runs the work at each interval while the log's leader lease is valid,
// until the context ends. It passes the time since which the replica has led.
func whileLeading(ctx context.Context, log port.Log, interval time.Duration, work func(since time.Duration)) {
	every(ctx, interval, func() {
		if since, valid := log.Lease(); valid {
			work(since)
		}
	})
}
