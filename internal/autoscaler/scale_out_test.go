package autoscaler

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// The name of a scale-out request is never used again, also not by the leader of the next term. The cloud would take a
// request with a used name for a repetition, and grant nothing new.
func TestScaleOutRequestNameIsUniqueAcrossTerms(t *testing.T) {
	s := newScenario(t)
	s.controllers.demands = waitingDemand(2, nil)
	for term := uint64(3); term < 5; term++ {
		s.elections.setTerm(term)
		s.autoscaler.startTerm(term)
		for range 3 {
			s.autoscaler.instanceList.instances = map[string]Instance{} // as if the cloud had granted none
			s.step(t)
		}
	}
	s.cloud.withLock(func() {
		seen := map[string]bool{}
		for _, n := range s.cloud.requestNames {
			require.False(t, seen[n], n)
			seen[n] = true
		}
		require.GreaterOrEqual(t, len(s.cloud.requestNames), 6)
	})
}

// When the cloud has no capacity of one kind, the same step requests another kind. The next step requests nothing more,
// since the granted instance counts as capacity before the list shows it.
func TestScaleOutWithoutCapacityRequestsNextKind(t *testing.T) {
	s := newScenario(t)
	s.controllers.demands = waitingDemand(2, nil)
	var spot []bool
	s.cloud.withLock(func() {
		s.cloud.answer = func(r wire.ScaleOutRequest) (int, any) {
			spot = append(spot, r.Spot)
			if r.Spot {
				return 503, wire.Error{Error: "no capacity"}
			}
			return 200, wire.HostList{Hosts: []string{"m-1"}}
		}
	})
	s.step(t)
	s.cloud.withLock(func() { require.Equal(t, []bool{true, false}, spot) })
	s.step(t)
	s.cloud.withLock(func() {
		require.Equal(t, []bool{true, false}, spot, "the granted instance counts although the list does not show it yet")
	})
}

// Errors and malformed responses of the cloud add no instances.
func TestMalformedCloudResponseGrantsNothing(t *testing.T) {
	s := newScenario(t)
	s.controllers.demands = waitingDemand(2, nil)
	for _, answer := range []func(wire.ScaleOutRequest) (int, any){
		func(wire.ScaleOutRequest) (int, any) { return 429, nil },
		func(wire.ScaleOutRequest) (int, any) { return 503, wire.Error{Error: "trouble"} },
		func(wire.ScaleOutRequest) (int, any) { return 200, "what?" },
		func(wire.ScaleOutRequest) (int, any) { return 500, strings.Repeat("x", 300) },
	} {
		s.cloud.withLock(func() { s.cloud.answer = answer })
		s.autoscaler.pacer.refusedUntil = map[InstanceKind]clock.Micros{}
		s.step(t)
		require.Empty(t, s.autoscaler.instanceList.instances)
	}
}

// The window of a kind doubles up to the bound while the cloud grants all requests, and falls to one request when it
// grants fewer instances than requested.
func TestRequestWindowGrowsWithGrantsAndShrinksOnRefusal(t *testing.T) {
	s := newScenario(t)
	a := s.autoscaler
	k := InstanceKind{"big", "a", true}
	planned := make([]ScaleOut, 20)
	for i := range planned {
		planned[i] = ScaleOut{k, 1}
	}
	a.pacer.maxRequests = 8
	for _, want := range []int{2, 4, 8, 8} {
		got := a.pacer.selectRequests(planned)
		require.Len(t, got, want)
		a.requestScaleOut(t.Context(), got)
	}
	a.pacer.refusedUntil = map[InstanceKind]clock.Micros{}
	a.requestScaleOut(t.Context(), []ScaleOut{{k, 2}}) // the cloud grants one instance of two
	require.Len(t, a.pacer.selectRequests(planned), 1)
}

// After a refusal or a partial grant a kind is not requested for the whole backoff. After an error that leaves the outcome
// unknown it is not requested for 3 s, by when the list may show the instances if they were granted.
func TestRequestOutcomeDecidesBackoff(t *testing.T) {
	k := InstanceKind{"big", "a", true}
	for name, x := range map[string]struct {
		granted int
		err     error
		want    clock.Micros // time until which the kind is not requested
	}{
		"all granted":     {2, nil, 0},
		"fewer granted":   {1, nil, 112 * sec},
		"no capacity":     {0, errNoCapacity, 112 * sec},
		"unknown outcome": {0, errNoAnswer, 103 * sec},
	} {
		t.Run(name, func(t *testing.T) {
			p := requestPacer{backoff: 12 * sec, maxRequests: 4}
			p.reset()
			p.observeResponse(ScaleOut{k, 2}, x.granted, x.err, 100*sec)
			require.Equal(t, x.want, p.refusedUntil[k])
		})
	}
}
