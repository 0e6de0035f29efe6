package owner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// verbs counts the orders of each verb in an answer.
func verbs(a wire.ReportAnswer) map[string]int {
	out := map[string]int{}
	for _, o := range a.Orders {
		out[o.Verb]++
	}
	return out
}

// A worker reports once more for every forget that it is told. On small controllers
// those reports were a fifth of all messages.
func TestForgetsWaitForOtherOrders(t *testing.T) {
	const gap = 10 * sec
	finish := func(s *scene, n int, attempt uint64) {
		s.w.Finish(wire.TaskName("job-1", n), wire.CauseDone)
		s.report()
		s.round(peer.Round{Settles: []peer.Settle{{ID: peer.TaskID{Job: "job-1", N: n, Attempt: 1<<32 | attempt}, Machine: "m-1"}}})
	}
	running := func(t *testing.T) *scene {
		s := newScene(t)
		s.table.timing.Forget = gap
		for n := range 3 {
			require.True(t, s.lease(n, uint64(n)))
		}
		s.report()
		s.report()
		s.table.machines["m-1"].forgotAt = s.now // others were forgotten just now
		return s
	}
	t.Run("alone they wait for the gap", func(t *testing.T) {
		s := running(t)
		finish(s, 0, 0)
		until := s.now + gap
		for s.now+2*sec < until {
			require.Empty(t, s.report().Orders)
		}
		s.now = until
		require.Equal(t, map[string]int{wire.VerbForget: 1}, verbs(s.report()))
		require.Empty(t, s.report().Orders)
	})
	t.Run("they go with a start", func(t *testing.T) {
		s := running(t)
		finish(s, 0, 0)
		require.True(t, s.lease(3, 3))
		require.Equal(t, map[string]int{wire.VerbForget: 1, wire.VerbRun: 1}, verbs(s.report()))
	})
	t.Run("they go at once where nothing else is left on the machine", func(t *testing.T) {
		s := running(t)
		for n := range 3 {
			finish(s, n, uint64(n))
		}
		require.Equal(t, map[string]int{wire.VerbForget: 3}, verbs(s.report()))
	})
}
