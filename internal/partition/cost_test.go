package partition

import (
	"fmt"
	"testing"

	"github.com/segmentio/encoding/json"
	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/jobs"
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

// BenchmarkFirstAnswers measures the first answers of a new leader to a fleet whose machines run tasks of an ended job: its
// processor time, and the size of an answer.
func BenchmarkFirstAnswers(b *testing.B) {
	for _, machines := range []int{1000, 4000} {
		for _, ended := range []bool{false, true} {
			b.Run(fmt.Sprintf("machines=%d/ended=%v", machines, ended), func(b *testing.B) { benchmarkFirstAnswers(b, machines, ended) })
		}
	}
}

func benchmarkFirstAnswers(b *testing.B, machines int, ended bool) {
	l := newLoadedServer(b, machines)
	lookup := l.server.state.jobs.(*fakeJobLookup)
	if ended {
		lookup.active = map[string]*jobs.Job{}
	}
	for i := range l.heartbeats {
		l.heartbeats[i].FencingToken = 1 // of a former leader
	}
	answerBytes := 0
	b.ReportAllocs()
	for b.Loop() {
		l.releasePartition()
		l.server.Reconcile()
		answerBytes = 0
		for i := range l.heartbeats {
			hb := &l.heartbeats[i]
			hb.Tick++
			body, err := json.Marshal(hb)
			require.NoError(b, err)
			answerBytes += len(l.server.HandleHeartbeat(body).Body)
		}
	}
	b.ReportMetric(float64(answerBytes)/float64(machines), "B/answer")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(machines), "ns/answer")
}
