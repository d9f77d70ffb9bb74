package logging

import (
	"context"
	"log/slog"
)

// NewBounded returns a logger like New that writes to b. Each message has its own
// share of the rate limit, and a dropped line is not formatted.
func NewBounded(b *BoundedWriter, process, dataCentre string, level slog.Leveler) *slog.Logger {
	formatted := New(admittedLines{b}, process, dataCentre, level)
	return slog.New(&messageLimiter{formatted.Handler(), b})
}

// messageLimiter is a slog.Handler that drops the records that its writer does not
// admit and passes the others on.
type messageLimiter struct {
	slog.Handler
	writer *BoundedWriter
}

// Drops reports whether a line of a message would be dropped now because of the rate limit of a
// logger of NewBounded, and if so counts it as dropped. Callers with frequent messages ask it
// before they compute the fields of a line.
func Drops(l *slog.Logger, message string) bool {
	limiter, ok := l.Handler().(*messageLimiter)
	return ok && limiter.writer.drops(message)
}

// Handle implements slog.Handler.
func (l *messageLimiter) Handle(ctx context.Context, r slog.Record) error {
	if !l.writer.admitMessage(r.Message) {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *messageLimiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &messageLimiter{l.Handler.WithAttrs(attrs), l.writer}
}

// WithGroup implements slog.Handler.
func (l *messageLimiter) WithGroup(name string) slog.Handler {
	return &messageLimiter{l.Handler.WithGroup(name), l.writer}
}

// admittedLines queues lines that messageLimiter has counted.
type admittedLines struct{ writer *BoundedWriter }

func (a admittedLines) Write(line []byte) (int, error) {
	a.writer.offer(append([]byte(nil), line...))
	return len(line), nil
}
