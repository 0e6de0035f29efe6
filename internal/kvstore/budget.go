package kvstore

import (
	"fmt"

	"golang.org/x/time/rate"
)

// Shares and bursts of a controller's budget, which is its part of the requests and of the changes per second that the store
// allows (docs/design.md, "Request budget"). Changes are counted by operations, not by transactions.
const (
	// requestShare is below 1 because a lease renewal takes its request from the budget without waiting for it.
	requestShare = 0.95
	// requestBurstSeconds is how many seconds' worth of requests may be sent in one burst after an idle time.
	requestBurstSeconds = 0.9
	minRequestBurst     = 1

	// userReadShare is the part of the requests that reads for users may take, so that users who poll for unknown job ids can't
	// delay a lease renewal. Its burst is the same part of one second's requests.
	userReadShare    = 0.4
	minUserReadBurst = 2

	// writeShare is the part of the changes for writes that may wait: final states, progress and machine records.
	writeShare = 0.65
	// minWriteBurst exceeds the 12 operations that a transaction of final states has at most (package scheduler), because a
	// limiter refuses any request above its burst.
	minWriteBurst = 13

	// priorityWriteShare is the part of the changes for writes that users or other controllers wait for. What remains up to 1
	// is a reserve.
	priorityWriteShare = 0.3
	// priorityBurstDivisor makes the burst of priority writes half a second's worth of all changes.
	priorityBurstDivisor  = 2
	minPriorityWriteBurst = 8

	// spareBurstDivisor is the part of the write burst that writes without urgency leave to others, as a divisor: one third.
	spareBurstDivisor = 3
)

// budget limits one controller to its part of the requests and changes per second that the store allows all controllers.
type budget struct {
	requests       *rate.Limiter // all requests; Client.KeepAlive takes from it without waiting
	userReads      *rate.Limiter // of these, reads of keys for users
	writes         *rate.Limiter // changes that may wait
	priorityWrites *rate.Limiter // changes that users or other controllers wait for
}

// newBudget returns the budget of each of the given number of controllers, which share the requests and changes per second
// equally.
func newBudget(requestsPerSecond, writesPerSecond float64, controllers int) budget {
	n := float64(max(controllers, 1))
	requests, writes := requestsPerSecond/n, writesPerSecond/n
	return budget{
		requests:       newLimiter(requests*requestShare, requests*requestBurstSeconds, minRequestBurst),
		userReads:      newLimiter(requests*userReadShare, requests*userReadShare, minUserReadBurst),
		writes:         newLimiter(writes*writeShare, writes, minWriteBurst),
		priorityWrites: newLimiter(writes*priorityWriteShare, writes/priorityBurstDivisor, minPriorityWriteBurst),
	}
}

// newLimiter returns a limiter that allows perSecond events per second and a burst of the given size, rounded down, but of at
// least minBurst.
func newLimiter(perSecond, burst float64, minBurst int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(burst)))
}

// HasSpareWrites reports whether n changes that can wait may be made now and still leave part of the burst to other writes.
func (c *Client) HasSpareWrites(n int) bool {
	writes := c.budget.writes
	return writes.Tokens() >= float64(n)+float64(writes.Burst())/spareBurstDivisor
}

// budgetError returns the error of a request that was not sent because the budget did not allow it in time.
func budgetError() error { return fmt.Errorf("%w: %w", ErrRefused, ErrBudgetExhausted) }
