package routing

const (
	// The budget is counted in tenths of a retry. Each success adds tenthsPerSuccess and
	// each retry takes tenthsPerRetry, so that retries are at most 10% of the successes.
	tenthsPerSuccess = 1
	tenthsPerRetry   = 10
	// maxTenths limits the budget to 100 retries.
	maxTenths = 100 * tenthsPerRetry
)

// budget limits the retries of one service by its successes.
type budget struct{ tenths int }

func (b *budget) recordSuccess() { b.tenths = min(b.tenths+tenthsPerSuccess, maxTenths) }

// take uses up one retry. It returns false if the budget does not suffice.
func (b *budget) take() bool {
	if b.tenths < tenthsPerRetry {
		return false
	}
	b.tenths -= tenthsPerRetry
	return true
}
