// Package fairshare divides contended resources among teams.
//
// Divide computes the teams' shares by weighted max-min fairness of the dominant resource. Arbiter applies the shares
// at each partition leader, where resource leases are granted, by the tasks that run there and the demand that the
// schedulers last sent for their teams. Both do no I/O and take the time as a parameter. An Arbiter is not safe for
// concurrent use.
package fairshare

import (
	"maps"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Claimant is the input of Divide for one team that uses resources or waits for them.
type Claimant struct {
	Weight          float64           // of the team's share, relative to other teams' weights
	Used            resources.Amounts // by its tasks
	Waiting         resources.Amounts // requested by its waiting tasks
	WithinGuarantee resources.Amounts // the part of Used and Waiting that the team's guarantee covers
}

// resourceCount is the number of kinds of resources: CPU, GPU and memory.
const resourceCount = 3

// fractions returns amounts as fractions of a capacity, in the order CPU, GPU, memory. A resource whose capacity is 0
// gets fraction 0, since no task that needs it can be placed here anyway.
func fractions(a, capacity resources.Amounts) (out [resourceCount]float64) {
	for i, pair := range [resourceCount][2]int64{{a.CPU, capacity.CPU}, {a.GPU, capacity.GPU}, {a.Mem, capacity.Mem}} {
		if pair[1] > 0 {
			out[i] = float64(pair[0]) / float64(pair[1])
		}
	}
	return out
}

// Dominant returns the dominant share of amounts: the largest of their fractions of a capacity, over all resources
// (Dominant Resource Fairness, Ghodsi et al., NSDI 2011).
func Dominant(a, capacity resources.Amounts) float64 {
	f := fractions(a, capacity)
	return max(f[0], f[1], f[2])
}

// teamShare is a team's demand and share during the division, as fractions of the capacity.
type teamShare struct {
	weight           float64
	demand           [resourceCount]float64 // used and waiting, by resource
	maxDominantShare float64                // dominant share if all demand were met
	guaranteedShare  float64                // dominant share of what the guarantee covers, at most maxDominantShare
	share            float64                // dominant share that the team gets, so far
	final            bool                   // the share is not raised any more
}

// newTeamShare returns a claimant's demand with a share of 0. A weight of 0 or less counts as 1.
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

// shareAt returns the team's dominant share at a level of the progressive filling: level * weight, but at least its
// guaranteed share and at most the share that meets all its demand.
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

// roundingTolerance is the fraction of the capacity up to which differences count as rounding errors.
const roundingTolerance = 1e-9

// Divide returns each team's share of a capacity, as a fraction of the team's dominant resource. The shares are
// weighted max-min fair (progressive filling, as in Bertsekas and Gallager, Data Networks). A team gets no more than
// its demand, and no less than the part of its demand that its guarantee covers.
//
// One level rises for all teams until a resource is exhausted. Teams that demand this resource keep their shares, and
// the level rises further for the others. Unless the guarantees exceed the capacity, each pass meets all
// demand or exhausts one more resource, so that resourceCount passes suffice.
func Divide(capacity resources.Amounts, teams map[string]Claimant) map[string]float64 {
	names := slices.Sorted(maps.Keys(teams)) // a fixed order, so that floating-point sums are the same in every process
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

// levelBisections is the number of bisections that find the level. It exceeds the 53 bits of a float64's significand,
// so that more would not improve the result.
const levelBisections = 60

// raiseLevel returns the highest level at which no resource is exceeded, and the resources that are exhausted there.
// If all demand can be met, it returns the lowest level that meets it, and no exhausted resource.
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

// consumption returns what all teams together take of each resource at a level, as fractions of the capacity. A team
// takes all resources in the proportions of its demand.
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

// withinCapacity reports whether no resource is exceeded, up to the rounding tolerance.
func withinCapacity(sum [resourceCount]float64) bool {
	return max(sum[0], sum[1], sum[2]) <= 1+roundingTolerance
}
