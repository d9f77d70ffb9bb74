package disk

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"laburnumgrade/internal/logging"
)

// retryDelay is the delay between two tries of RetryWhileFull.
const retryDelay = time.Second

// RetryWhileFull calls a function that creates a storage or starts a replica, again each second
// while it fails because the disk is full, until the context ends. It returns the last error.
// Without it a process on a full disk would end and be started over and over.
func RetryWhileFull(ctx context.Context, logger *slog.Logger, call func() error) error {
	for first := true; ; first = false {
		err := call()
		if !isNoSpace(err) || errors.Is(err, ErrUnusable) {
			return err // a storage that is unusable stays so until it is opened again
		}
		if first {
			logger.Error("start waits for space on the disk", logging.Step("start replica"), logging.Error(err))
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryDelay):
		}
	}
}
