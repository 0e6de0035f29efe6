package partition

import (
	"testing"

	"github.com/segmentio/encoding/json"
	"github.com/stretchr/testify/require"
)

func BenchmarkHeartbeatUnchanged(b *testing.B) {
	l := newLoadedServer(b, smallFleet)
	b.ReportAllocs()
	next := 0
	for b.Loop() {
		l.heartbeat(next % smallFleet)
		next++
	}
}

func BenchmarkPollUnchanged(b *testing.B) {
	l := newLoadedServer(b, smallFleet)
	cursor := l.poll(0).Cursor
	b.ReportAllocs()
	for b.Loop() {
		l.poll(cursor)
	}
}

func BenchmarkPollEverything(b *testing.B) {
	l := newLoadedServer(b, smallFleet)
	b.ReportAllocs()
	for b.Loop() {
		l.poll(0)
	}
}

func BenchmarkIdleTick(b *testing.B) {
	l := newLoadedServer(b, smallFleet)
	b.ReportAllocs()
	for b.Loop() {
		l.idleTick()
	}
}

// BenchmarkFailover acquires the leadership of a partition of machines with tasks, and lets all of them send a
// heartbeat.
func BenchmarkFailover(b *testing.B) { benchmarkFailover(b, smallFleet) }

func benchmarkFailover(b *testing.B, machines int) {
	l := newLoadedServer(b, machines)
	b.ReportAllocs()
	for b.Loop() {
		l.releasePartition()
		l.server.Reconcile()
		for i := range l.heartbeats {
			l.heartbeat(i)
		}
	}
}

// Heartbeats, polls and ticks without news are most of a leader's work. Their number of allocations must not grow
// with the size of the fleet.
func TestUnchangedWorkDoesNotAllocateMoreOnALargerFleet(t *testing.T) {
	type cost struct{ heartbeat, poll, tick float64 }
	costs := map[int]cost{}
	for _, machines := range []int{30, 600} {
		l := newLoadedServer(t, machines)
		cursor := l.poll(0).Cursor
		body := make([][]byte, 200)
		for i := range body {
			l.heartbeats[0].Tick++
			var err error
			body[i], err = json.Marshal(&l.heartbeats[0])
			require.NoError(t, err)
		}
		next := 0
		costs[machines] = cost{
			heartbeat: testing.AllocsPerRun(100, func() {
				l.server.HandleHeartbeat(body[next])
				next++
			}),
			poll: testing.AllocsPerRun(100, func() { l.poll(cursor) }),
			tick: testing.AllocsPerRun(100, l.idleTick),
		}
		require.Equal(t, cursor, l.poll(cursor).Cursor, "a heartbeat without news must not change the version")
	}
	require.Equal(t, costs[30], costs[600])
	require.NotZero(t, costs[30].heartbeat)
}
