package routing

const (
	// retriesPerSuccess is the share of a retry that each success earns, in
	// tenths: retries are at most 10% of the successes.
	tenthsPerSuccess = 1
	tenthsPerRetry   = 10
	// maxTenths bounds the retries saved up.
	maxTenths = 100 * tenthsPerRetry
)

// budget bounds the retries of one service by its successes.
type budget struct{ tenths int }

func (b *budget) succeed() { b.tenths = min(b.tenths+tenthsPerSuccess, maxTenths) }

func (b *budget) take() bool {
	if b.tenths < tenthsPerRetry {
		return false
	}
	b.tenths -= tenthsPerRetry
	return true
}
