package partition

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// allHeld are claims of a process that holds every duty.
type allHeld struct{}

func (allHeld) Leading(string) (leaderelection.Leadership, bool) {
	return leaderelection.Leadership{Record: leaderelection.Record{Term: 1}, ModRevision: 1}, true
}
func (allHeld) Leader(string) (string, bool) { return "me", true }

// loadedOwner is an owner of a fleet whose machines all run tasks and report.
type loadedOwner struct {
	tb      testing.TB
	owner   *Server
	reports []wire.Heartbeat
}

// tasksEach is how many tasks each machine of a loaded owner runs.
const tasksEach = 6

func newLoadedOwner(tb testing.TB, count int) *loadedOwner {
	tb.Helper()
	spec := wire.Job{ID: "job-000001", Team: team, Priority: "normal", Tasks: count * tasksEach, CPUs: 1, MemGB: 1}
	list := &jobList{map[string]*jobs.Job{spec.ID: jobs.New(jobs.Record{Job: spec}, made)}, map[string]jobs.Final{}, made}
	o := New(Options{Host: "me", Instance: "incarnation", Partitioning: NewPartitioning([]string{"a"}), TxnOps: 12, MaxRecordBytes: 7000, MaxWorkerConnections: 100,
		Timing: Timing{Lease: 3600 * sec, RoomLeaseTTL: 5 * sec, QuarantineErrors: 2}, Jobs: list, Elections: allHeld{}, Clock: clock.NewSteady(), WallClock: time.Now,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	o.SetTypes(map[string]resources.Amounts{"big": resources.Capacity(8, 0, 32)}, nil)
	o.Reconcile()
	l := &loadedOwner{tb: tb, owner: o}
	for i := range count {
		r := wire.Heartbeat{Machine: fmt.Sprintf("m-%06d", i), Addr: "10.0.0.9:9000", Type: "big", Zone: "a", Incarnation: 1, FencingToken: 1<<32 + 1}
		for n := range tasksEach {
			r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName(spec.ID, i*tasksEach+n), Attempt: 1<<32 | uint64(n), Phase: wire.TaskRunning})
		}
		l.reports = append(l.reports, r)
		l.report(i)
		o.table.HandleMachineRecord(r.Machine, 0, inventory.Record{Type: "big", Zone: "a"}, true, o.clock.Now())
	}
	return l
}

// report has a machine report that nothing has changed.
func (l *loadedOwner) report(i int) {
	r := &l.reports[i]
	r.Tick++
	body, err := json.Marshal(r)
	require.NoError(l.tb, err)
	require.Equal(l.tb, 200, l.owner.HandleHeartbeat(body).Status)
}

// poll asks for all that changed after a cursor.
func (l *loadedOwner) poll(cursor uint64) peer.PollResponse {
	return l.owner.HandlePoll(peer.PollRequest{Incarnation: "incarnation", Cursor: cursor, Terms: map[string]uint64{team: 1}})
}

// idleTick is what the owner's loop does a few times a second while nothing happens.
func (l *loadedOwner) idleTick() {
	now := l.owner.clock.Now()
	l.owner.table.Tick(now)
	l.owner.table.UnrecordedMachines()
	l.owner.table.PendingDeliveries(now)
}

// leanFleet is about as many machines as one controller of the smaller sites owns.
const leanFleet = 410

func BenchmarkReportUnchanged(b *testing.B) {
	l := newLoadedOwner(b, leanFleet)
	b.ReportAllocs()
	next := 0
	for b.Loop() {
		l.report(next % leanFleet)
		next++
	}
}

func BenchmarkPollUnchanged(b *testing.B) {
	l := newLoadedOwner(b, leanFleet)
	cursor := l.poll(0).Cursor
	b.ReportAllocs()
	for b.Loop() {
		l.poll(cursor)
	}
}

func BenchmarkPollEverything(b *testing.B) {
	l := newLoadedOwner(b, leanFleet)
	b.ReportAllocs()
	for b.Loop() {
		l.poll(0)
	}
}

func BenchmarkIdleTick(b *testing.B) {
	l := newLoadedOwner(b, leanFleet)
	b.ReportAllocs()
	for b.Loop() {
		l.idleTick()
	}
}

// A partition of machines with tasks is taken over and all of them report.
func BenchmarkTakeOver(b *testing.B) { benchmarkTakeOver(b, leanFleet) }

func benchmarkTakeOver(b *testing.B, machines int) {
	l := newLoadedOwner(b, machines)
	b.ReportAllocs()
	for b.Loop() {
		l.owner.table.ReleasePartition(0)
		l.owner.Reconcile()
		for i := range l.reports {
			l.report(i)
		}
	}
}

// A report, a poll and a tick of which nothing is new allocate the same whatever the size of the fleet.
func TestUnchangedWorkDoesNotAllocateMoreOnALargerFleet(t *testing.T) {
	type cost struct{ report, poll, tick float64 }
	costs := map[int]cost{}
	for _, machines := range []int{30, 600} {
		l := newLoadedOwner(t, machines)
		cursor := l.poll(0).Cursor
		body := make([][]byte, 200)
		for i := range body {
			l.reports[0].Tick++
			var err error
			body[i], err = json.Marshal(&l.reports[0])
			require.NoError(t, err)
		}
		next := 0
		costs[machines] = cost{
			report: testing.AllocsPerRun(100, func() {
				l.owner.HandleHeartbeat(body[next])
				next++
			}),
			poll: testing.AllocsPerRun(100, func() { l.poll(cursor) }),
			tick: testing.AllocsPerRun(100, l.idleTick),
		}
		require.Equal(t, cursor, l.poll(cursor).Cursor, "a report without news changes nothing")
	}
	require.Equal(t, costs[30], costs[600])
	require.NotZero(t, costs[30].report)
}
