package kvstore

import (
	"fmt"

	"golang.org/x/time/rate"
)

// The parts of a controller's budget, of the requests or changes a second that the store allows it (docs/design.md,
// "Request budget"). Changes are counted by operations, not by transactions.
const (
	// requestShare is below one: a lease renewal takes its request without waiting for it.
	requestShare = 0.95
	// requestBurstSeconds is how many seconds' worth of requests may be sent in a burst after a quiet time.
	requestBurstSeconds = 0.9
	minRequestBurst     = 1

	// userReadShare is the part of the requests that reads on users' behalf may take: polls for ids that nobody knows
	// can't delay a lease renewal. Its burst is the same part of one second.
	userReadShare    = 0.4
	minUserReadBurst = 2

	// writeShare is the part of the changes that may wait: final states, progress, machine records.
	writeShare = 0.65
	// minWriteBurst is above the 12 operations that a transaction of final states has at most (package scheduler): a limiter
	// refuses what is above its burst.
	minWriteBurst = 13

	// priorityWriteShare is the part of the changes that users or other controllers wait for; the rest up to one is spare.
	priorityWriteShare = 0.3
	// priorityBurstDivisor makes the burst half a second's worth of all changes.
	priorityBurstDivisor  = 2
	minPriorityWriteBurst = 8

	// spareBurstDivisor is the part of the burst of writes that changes without hurry leave to others: a third.
	spareBurstDivisor = 3
)

// budget is one controller's part of the requests and changes that the store allows all of them.
type budget struct {
	requests       *rate.Limiter // every request; Client.KeepAlive takes from it without waiting
	userReads      *rate.Limiter // of these, keys read on users' behalf
	writes         *rate.Limiter // changes that may wait
	priorityWrites *rate.Limiter // changes that users or other controllers wait for
}

// newBudget divides requests and changes a second among so many controllers.
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

// newLimiter allows so many events a second, and a burst of so many, rounded down, but at least minBurst.
func newLimiter(perSecond, burst float64, minBurst int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(burst)))
}

// HasSpareWrites reports whether n changes that can wait may be made now, leaving room for others.
func (c *Client) HasSpareWrites(n int) bool {
	writes := c.budget.writes
	return writes.Tokens() >= float64(n)+float64(writes.Burst())/spareBurstDivisor
}

// errBudget is the error of a request that was not sent since the budget did not suffice.
func errBudget() error { return fmt.Errorf("%w: %w", ErrRefused, ErrBudgetExhausted) }
