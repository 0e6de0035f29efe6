// Package fairshare divides contended room among teams.
//
// Divide computes weighted max-min shares of the dominant resource. Arbiter applies them
// where leases on room are granted: at each owner of machines, from what runs there and
// from what the placers last told of their teams' demand. Both are plain code that takes
// the time.
package fairshare

import (
	"maps"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Claimant is a team that uses room or waits for it.
type Claimant struct {
	Weight  float64           // its part of what is divided, relative to the others'
	Used    resources.Amounts // by its tasks
	Waiting resources.Amounts // what its tasks that wait would use
	Owed    resources.Amounts // the part of both that its guarantee covers
}

// resourceCount is how many kinds of resources there are.
const resourceCount = 3

// fractions gives amounts as fractions of a capacity. What there is none of counts for
// nothing: work that takes it can't be placed here.
func fractions(a, capacity resources.Amounts) (out [resourceCount]float64) {
	for i, pair := range [resourceCount][2]int64{{a.CPU, capacity.CPU}, {a.GPU, capacity.GPU}, {a.Mem, capacity.Mem}} {
		if pair[1] > 0 {
			out[i] = float64(pair[0]) / float64(pair[1])
		}
	}
	return out
}

// Dominant is the largest fraction of a capacity's resources that amounts take.
func Dominant(a, capacity resources.Amounts) float64 {
	f := fractions(a, capacity)
	return max(f[0], f[1], f[2])
}

// teamShare is a claimant in fractions of the capacity.
type teamShare struct {
	weight           float64
	demand           [resourceCount]float64 // used and waiting
	maxDominantShare float64                // its dominant fraction if all of its demand were met
	guaranteedShare  float64                // its dominant fraction by its guarantee
	share            float64
	final            bool
}

// shareAt is a dominant fraction at a level of the filling.
func (c *teamShare) shareAt(level float64) float64 {
	return min(c.maxDominantShare, max(c.guaranteedShare, level*c.weight))
}

// roundingTolerance is how far a resource may seem overfull for the rounding of the sums.
const roundingTolerance = 1e-9

// Divide gives each team's share of a capacity as a fraction of its dominant resource:
// weighted max-min, no more than the team demands and no less than its guarantee covers of
// that. The filling stops for a team once a resource that it demands is used up.
func Divide(capacity resources.Amounts, teams map[string]Claimant) map[string]float64 {
	claims := make(map[string]*teamShare, len(teams))
	for name, t := range teams {
		c := &teamShare{weight: t.Weight, demand: fractions(t.Used.Plus(t.Waiting), capacity)}
		if c.weight <= 0 {
			c.weight = 1
		}
		c.maxDominantShare = max(c.demand[0], c.demand[1], c.demand[2])
		c.guaranteedShare = min(c.maxDominantShare, Dominant(t.Owed, capacity))
		c.final = c.maxDominantShare == 0
		claims[name] = c
	}
	order := slices.Sorted(maps.Keys(claims))
	list := make([]*teamShare, 0, len(order))
	for _, name := range order {
		list = append(list, claims[name])
	}
	for range resourceCount {
		level, full := raiseLevel(list)
		for _, c := range list {
			if c.final {
				continue
			}
			c.share = c.shareAt(level)
			c.final = demandsExhausted(c, full)
		}
	}
	out := make(map[string]float64, len(claims))
	for name, c := range claims {
		out[name] = c.share
	}
	return out
}

// demandsExhausted tells whether a claim demands one of the resources.
func demandsExhausted(c *teamShare, full [resourceCount]bool) bool {
	for r := range resourceCount {
		if full[r] && c.demand[r] > 0 {
			return true
		}
	}
	return false
}

// raiseLevel raises the level until a resource is used up or all demand is met, and tells which
// resources are used up.
func raiseLevel(list []*teamShare) (level float64, full [resourceCount]bool) {
	high := 0.0
	for _, c := range list {
		if !c.final {
			high = max(high, c.maxDominantShare/c.weight)
		}
	}
	if withinCapacity(consumption(list, high)) {
		return high, full
	}
	low := 0.0
	for range 60 { // as exact as the numbers are
		mid := (low + high) / 2
		if withinCapacity(consumption(list, mid)) {
			low = mid
		} else {
			high = mid
		}
	}
	over := consumption(list, high)
	for r := range resourceCount {
		full[r] = over[r] > 1+roundingTolerance
	}
	return low, full
}

// consumption sums what the claims take of each resource at a level.
func consumption(list []*teamShare, level float64) (sum [resourceCount]float64) {
	for _, c := range list {
		if c.maxDominantShare == 0 {
			continue
		}
		share := c.share
		if !c.final {
			share = c.shareAt(level)
		}
		for r := range resourceCount {
			sum[r] += share / c.maxDominantShare * c.demand[r]
		}
	}
	return sum
}

func withinCapacity(sum [resourceCount]float64) bool {
	return max(sum[0], sum[1], sum[2]) <= 1+roundingTolerance
}
