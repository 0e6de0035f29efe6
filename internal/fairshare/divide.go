// Package fairshare divides contended resources among teams.
//
// Divide computes the shares: weighted max-min fairness of the dominant resource. Arbiter applies them
// where resource leases are granted: at each partition leader, from what runs there and from the
// schedulers' latest demand of their teams. Both are decisions without I/O that take the time as a
// parameter; neither is safe for concurrent use.
package fairshare

import (
	"maps"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Claimant is a team that uses resources or waits for them.
type Claimant struct {
	Weight          float64           // its part of what is divided, relative to the others'
	Used            resources.Amounts // by its tasks
	Waiting         resources.Amounts // what its waiting tasks would use
	WithinGuarantee resources.Amounts // the part of both that its guarantee covers
}

// resourceCount is how many kinds of resources there are: CPU, GPU, memory.
const resourceCount = 3

// fractions returns amounts as fractions of a capacity. A resource that the capacity has none of counts
// as 0: work that needs it can't be placed here.
func fractions(a, capacity resources.Amounts) (out [resourceCount]float64) {
	for i, pair := range [resourceCount][2]int64{{a.CPU, capacity.CPU}, {a.GPU, capacity.GPU}, {a.Mem, capacity.Mem}} {
		if pair[1] > 0 {
			out[i] = float64(pair[0]) / float64(pair[1])
		}
	}
	return out
}

// Dominant is the dominant share of amounts: the largest fraction that they take of any resource of a
// capacity (Dominant Resource Fairness, Ghodsi et al., NSDI 2011).
func Dominant(a, capacity resources.Amounts) float64 {
	f := fractions(a, capacity)
	return max(f[0], f[1], f[2])
}

// teamShare is a team's demand and share while shares are divided, in fractions of the capacity.
type teamShare struct {
	weight           float64
	demand           [resourceCount]float64 // used and waiting, by resource
	maxDominantShare float64                // its dominant share if all of its demand were met
	guaranteedShare  float64                // its dominant share by its guarantee, at most maxDominantShare
	share            float64                // its dominant share
	final            bool                   // the share is not raised any more
}

// newTeamShare is a claimant before the division. A weight that is not above 0 counts as 1.
func newTeamShare(c Claimant, capacity resources.Amounts) *teamShare {
	t := &teamShare{weight: c.Weight, demand: fractions(c.Used.Plus(c.Waiting), capacity)}
	if t.weight <= 0 {
		t.weight = 1
	}
	t.maxDominantShare = max(t.demand[0], t.demand[1], t.demand[2])
	t.guaranteedShare = min(t.maxDominantShare, Dominant(c.WithinGuarantee, capacity))
	t.final = t.maxDominantShare == 0
	return t
}

// shareAt is the team's dominant share at a water level: level * weight, at least what its guarantee
// covers and at most its demand.
func (t *teamShare) shareAt(level float64) float64 {
	return min(t.maxDominantShare, max(t.guaranteedShare, level*t.weight))
}

// demandsExhausted reports whether the team demands one of the exhausted resources.
func (t *teamShare) demandsExhausted(exhausted [resourceCount]bool) bool {
	for r := range resourceCount {
		if exhausted[r] && t.demand[r] > 0 {
			return true
		}
	}
	return false
}

// roundingTolerance is how far the sum of a resource may exceed its capacity, as a fraction, by rounding.
const roundingTolerance = 1e-9

// Divide returns each team's share of a capacity as a fraction of its dominant resource: weighted max-min
// fairness (progressive filling, as in Bertsekas and Gallager, Data Networks) of dominant shares. A team
// gets no more than it demands and no less than its guarantee covers of that.
//
// One level rises for all teams until a resource is exhausted; teams that demand it keep their share, the
// level rises on for the others. Unless guarantees exceed the capacity, each pass meets all demand or
// exhausts one resource more, hence resourceCount passes.
func Divide(capacity resources.Amounts, teams map[string]Claimant) map[string]float64 {
	names := slices.Sorted(maps.Keys(teams)) // a fixed order, so that sums round alike everywhere
	shares := make([]*teamShare, 0, len(names))
	for _, name := range names {
		shares = append(shares, newTeamShare(teams[name], capacity))
	}
	for range resourceCount {
		level, exhausted := raiseLevel(shares)
		for _, t := range shares {
			if t.final {
				continue
			}
			t.share = t.shareAt(level)
			t.final = t.demandsExhausted(exhausted)
		}
	}
	out := make(map[string]float64, len(names))
	for i, name := range names {
		out[name] = shares[i].share
	}
	return out
}

// levelBisections is how often the interval of the level is halved: more than the 53 bits of a float64.
const levelBisections = 60

// raiseLevel raises the level until a resource is exhausted or all demand is met, and returns the
// resources that are exhausted.
func raiseLevel(shares []*teamShare) (level float64, exhausted [resourceCount]bool) {
	high := 0.0
	for _, t := range shares {
		if !t.final {
			high = max(high, t.maxDominantShare/t.weight)
		}
	}
	if withinCapacity(consumption(shares, high)) {
		return high, exhausted
	}
	low := 0.0
	for range levelBisections {
		middle := (low + high) / 2
		if withinCapacity(consumption(shares, middle)) {
			low = middle
		} else {
			high = middle
		}
	}
	consumed := consumption(shares, high)
	for r := range resourceCount {
		exhausted[r] = consumed[r] > 1+roundingTolerance
	}
	return low, exhausted
}

// consumption sums what the teams take of each resource at a level, as fractions of the capacity: a
// team takes of each resource in proportion to its demand.
func consumption(shares []*teamShare, level float64) (sum [resourceCount]float64) {
	for _, t := range shares {
		if t.maxDominantShare == 0 {
			continue
		}
		share := t.share
		if !t.final {
			share = t.shareAt(level)
		}
		for r := range resourceCount {
			sum[r] += share / t.maxDominantShare * t.demand[r]
		}
	}
	return sum
}

// withinCapacity reports whether no resource is taken beyond its capacity.
func withinCapacity(sum [resourceCount]float64) bool {
	return max(sum[0], sum[1], sum[2]) <= 1+roundingTolerance
}
