package kvstore

import (
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

// newBudget divides the limits of the store into the shares and bursts of one controller.
func TestBudgetIsDividedIntoSharesAndBursts(t *testing.T) {
	type limit struct {
		perSecond float64
		burst     int
	}
	for name, c := range map[string]struct {
		requestsPerSecond, writesPerSecond                          float64
		controllers                                                 int
		wantRequests, wantUserReads, wantWrites, wantPriorityWrites limit
	}{
		"large store, three controllers": {300, 120, 3, limit{95, 90}, limit{40, 40}, limit{26, 40}, limit{12, 20}},
		"small store, least bursts":      {3, 6, 3, limit{0.95, 1}, limit{0.4, 2}, limit{1.3, 13}, limit{0.6, 8}},
		"no controllers count as one":    {10, 20, 0, limit{9.5, 9}, limit{4, 4}, limit{13, 20}, limit{6, 10}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBudget(c.requestsPerSecond, c.writesPerSecond, c.controllers)
			for _, l := range []struct {
				want limit
				got  *rate.Limiter
			}{
				{c.wantRequests, b.requests},
				{c.wantUserReads, b.userReads},
				{c.wantWrites, b.writes},
				{c.wantPriorityWrites, b.priorityWrites},
			} {
				require.InDelta(t, l.want.perSecond, float64(l.got.Limit()), 1e-9)
				require.Equal(t, l.want.burst, l.got.Burst())
			}
		})
	}
}
