package autoscaler

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A scale-out request's name is never used again, not by the next leader either.
func TestScaleOutRequestNameIsUniqueAcrossTerms(t *testing.T) {
	s := newScenario(t)
	s.controllers.demands = waitingDemand(2, nil)
	for term := uint64(3); term < 5; term++ {
		s.elections.setTerm(term)
		s.autoscaler.startTerm(term)
		for range 3 {
			s.autoscaler.list.instances = map[string]Instance{} // as if none had been granted
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

// What the cloud can't grant is requested of another kind in the same step, and not again during the backoff.
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
		require.Equal(t, []bool{true, false}, spot, "the machine is on its way, though the list lags")
	})
}

// Malformed responses of the cloud lead to nothing but another try.
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
		require.Empty(t, s.autoscaler.list.instances)
	}
}

// A kind of which the cloud has too few gets one request at a time; one of which it grants
// all requests gets twice as many the next time.
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
	a.requestScaleOut(t.Context(), []ScaleOut{{k, 2}}) // one is granted of two
	require.Len(t, a.pacer.selectRequests(planned), 1)
}

// A refusal backs off for the whole backoff, a response that leaves the outcome open only until the list shows it.
func TestRequestOutcomeDecidesBackoff(t *testing.T) {
	k := InstanceKind{"big", "a", true}
	for name, x := range map[string]struct {
		granted int
		err     error
		want    clock.Micros // refused until
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
