package intake

import (
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"laburnumgrade/internal/logging"
)

// logInterval is the shortest time between two log lines with the same message and reason.
const logInterval = 5 * time.Second

// events counts and logs refused requests and closed connections.
type events struct {
	logger *slog.Logger
	scope  tally.Scope
	mu     sync.Mutex
	logged map[event]*logged
}

// event is a kind of event.
type event struct{ message, reason string }

// logged is what is known of the log lines on a kind of event.
type logged struct {
	at time.Time
	// since is the number of events since the last line.
	since int
}

func newEvents(logger *slog.Logger, scope tally.Scope) *events {
	return &events{logger: logger, scope: scope, logged: map[event]*logged{}}
}

// refused records a request that was refused for lack of room in a pool.
func (e *events) refused(reason string) {
	e.record(event{"request refused for lack of memory", reason}, "intake_refused", 1)
}

// closed records n connections that were closed for the reason.
func (e *events) closed(reason string, n int) {
	if n > 0 {
		e.record(event{"connections with incomplete requests closed", reason}, "intake_closed", n)
	}
}

func (e *events) record(kind event, counter string, n int) {
	e.scope.Tagged(map[string]string{"reason": kind.reason}).Counter(counter).Inc(int64(n))
	e.mu.Lock()
	l := e.logged[kind]
	if l == nil {
		l = &logged{}
		e.logged[kind] = l
	}
	l.since += n
	now, count := time.Now(), l.since
	due := now.Sub(l.at) >= logInterval
	if due {
		l.at, l.since = now, 0
	}
	e.mu.Unlock()
	if due {
		e.logger.Warn(kind.message, logging.Step("intake"), "reason", kind.reason, "count", count)
	}
}
