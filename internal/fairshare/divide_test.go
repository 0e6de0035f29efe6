package fairshare

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

func cpus(n float64) resources.Amounts { return resources.Capacity(n, 0, 0) }

func TestDivideGivesWeightedMaxMinShares(t *testing.T) {
	for _, test := range []struct {
		name     string
		capacity resources.Amounts
		teams    map[string]Claimant
		want     map[string]float64
	}{
		{"a team without others gets the whole capacity", cpus(100),
			map[string]Claimant{"a": {Waiting: cpus(500)}}, map[string]float64{"a": 1}},
		{"a team gets no more than its demand, the others get the rest", cpus(100),
			map[string]Claimant{"a": {Waiting: cpus(500)}, "b": {Used: cpus(5), Waiting: cpus(5)}, "c": {}},
			map[string]float64{"a": 0.9, "b": 0.1, "c": 0}},
		{"shares are proportional to weights", cpus(100),
			map[string]Claimant{"a": {Weight: 3, Waiting: cpus(500)}, "b": {Weight: 1, Waiting: cpus(500)}},
			map[string]float64{"a": 0.75, "b": 0.25}},
		{"a guarantee is met before other demand", cpus(100),
			map[string]Claimant{"a": {Waiting: cpus(500)}, "b": {Waiting: cpus(500), WithinGuarantee: cpus(80)}},
			map[string]float64{"a": 0.2, "b": 0.8}},
		{"a guarantee counts up to the demand", cpus(100),
			map[string]Claimant{"a": {Waiting: cpus(500)}, "b": {Waiting: cpus(10), WithinGuarantee: cpus(80)}},
			map[string]float64{"a": 0.9, "b": 0.1}},
		{"shares are equal in the dominant resource", resources.Capacity(90, 0, 180),
			map[string]Claimant{"a": {Waiting: resources.Capacity(100, 0, 400)}, "b": {Waiting: resources.Capacity(300, 0, 100)}},
			map[string]float64{"a": 2.0 / 3, "b": 2.0 / 3}},
		{"a team that needs no exhausted resource gets more", resources.Capacity(100, 10, 0),
			map[string]Claimant{"a": {Waiting: cpus(500)}, "b": {Waiting: cpus(500)}, "g": {Waiting: resources.Capacity(0, 50, 0)}},
			map[string]float64{"a": 0.5, "b": 0.5, "g": 1}},
		{"without capacity there are no shares", resources.Amounts{},
			map[string]Claimant{"a": {Waiting: cpus(5)}}, map[string]float64{"a": 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := Divide(test.capacity, test.teams)
			require.Len(t, got, len(test.want))
			for team, want := range test.want {
				require.InDelta(t, want, got[team], 1e-6, team)
			}
		})
	}
}

// For random demand: no resource is exceeded, no team gets more than its demand or less than the part of it that its
// guarantee covers, and a team whose demand is not met demands a resource that is exhausted.
func TestDivideOfRandomDemandKeepsInvariants(t *testing.T) {
	rng := fakes.Rand(7)
	for range 2000 {
		capacity := resources.Capacity(float64(50+rng.IntN(200)), 0, float64(50+rng.IntN(400)))
		teams := map[string]Claimant{}
		for i := range 1 + rng.IntN(6) {
			cpu, mem := float64(rng.IntN(200)), float64(rng.IntN(300))
			if rng.IntN(4) == 0 {
				mem = 0
			}
			c := Claimant{
				Weight:  float64(1 + rng.IntN(3)),
				Used:    resources.Capacity(cpu/4, 0, mem/4),
				Waiting: resources.Capacity(cpu, 0, mem),
			}
			if rng.IntN(4) == 0 {
				c.WithinGuarantee = resources.Capacity(float64(rng.IntN(10)), 0, 0)
			}
			teams[fmt.Sprint(i)] = c
		}
		shares := Divide(capacity, teams)
		var used [resourceCount]float64
		for name, c := range teams {
			demand := fractions(c.Used.Plus(c.Waiting), capacity)
			maxShare := max(demand[0], demand[1], demand[2])
			require.LessOrEqual(t, shares[name], maxShare+1e-6)
			require.GreaterOrEqual(t, shares[name], min(maxShare, Dominant(c.WithinGuarantee, capacity))-1e-6)
			if maxShare > 0 {
				for r := range resourceCount {
					used[r] += shares[name] / maxShare * demand[r]
				}
			}
		}
		for r := range resourceCount {
			require.LessOrEqual(t, used[r], 1+1e-6)
		}
		for name, c := range teams {
			demand := fractions(c.Used.Plus(c.Waiting), capacity)
			if shares[name] >= max(demand[0], demand[1], demand[2])-1e-6 {
				continue
			}
			exhausted := false
			for r := range resourceCount {
				exhausted = exhausted || demand[r] > 0 && used[r] > 1-1e-6
			}
			require.True(t, exhausted, "%s demands more, and none of its resources is exhausted", name)
		}
	}
}
