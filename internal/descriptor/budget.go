package descriptor

import (
	"log/slog"
	"math"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
)

// ForFiles is the number of descriptors that a Budget keeps for files: the log, the
// snapshot, their replacements and the folder, each opened at most twice at a time.
const ForFiles = 32

// minPart is the least number of connections of a part.
const minPart = 8

// Budget is what a process may open.
type Budget struct {
	connections int
	logger      *slog.Logger
	scope       tally.Scope
}

// NewBudget returns the budget of a process that may open limit descriptors, of which
// reserved are used by others. A limit of 0 means that of the operating system, which
// also bounds a greater one.
func NewBudget(limit, reserved int, logger *slog.Logger, scope tally.Scope) *Budget {
	if system := systemLimit(); limit == 0 || limit > system {
		limit = system
	}
	b := &Budget{connections: max(0, limit-reserved-ForFiles), logger: logger, scope: scope}
	scope.Gauge("descriptors_limit").Update(float64(limit))
	return b
}

// systemLimit returns the process's limit of open descriptors.
func systemLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// Part returns the part of a use, a share of the descriptors that are not kept for
// files. The shares of a process's parts must not exceed 1 in sum.
func (b *Budget) Part(use string, share float64) *Part {
	return newPart(use, max(minPart, int(share*float64(b.connections))), b.logger, b.scope)
}
