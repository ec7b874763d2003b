package route

// RetryBudget bounds retries to a share of the traffic, so that a failing
// upstream or zone is not met by a multiple of the requests.
type RetryBudget struct {
	level float64
}

const (
	retryShare = 0.1 // retries earned by each request
	retryCap   = 10  // most retries saved
)

// Request counts a first attempt.
func (b *RetryBudget) Request() { b.level = min(retryCap, b.level+retryShare) }

// Retry takes one retry from the budget and says whether it was there.
func (b *RetryBudget) Retry() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
