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
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// allLeaderships is the Elections of a process that has every leadership.
type allLeaderships struct{}

func (allLeaderships) Leading(string) (leaderelection.Leadership, bool) {
	return leaderelection.Leadership{Record: leaderelection.Record{Term: 1}, ModRevision: 1}, true
}

func (allLeaderships) Leader(string) (string, bool) { return "me", true }

// loadedServer is the leader of a fleet in which every machine runs tasks and sends heartbeats.
type loadedServer struct {
	tb         testing.TB
	server     *Server
	heartbeats []wire.Heartbeat
}

// tasksPerMachine is the number of tasks that each machine of a loadedServer runs.
const tasksPerMachine = 6

func newLoadedServer(tb testing.TB, count int) *loadedServer {
	tb.Helper()
	spec := wire.Job{ID: "job-000001", Team: team, Priority: "normal", Tasks: count * tasksPerMachine, CPUs: 1, MemGB: 1}
	s := New(Options{
		Controller:           "me",
		ProcessID:            "incarnation",
		Partitioning:         NewPartitioning([]string{"a"}),
		TxnOps:               12,
		MaxRecordBytes:       7000,
		MaxWorkerConnections: 100,
		Timing:               Timing{WorkerLease: 3600 * sec, ResourceLeaseTTL: 5 * sec, QuarantineFailedJobs: 2},
		Jobs:                 newFakeJobLookup(spec),
		Elections:            allLeaderships{},
		Clock:                clock.NewMonotonic(),
		WallClock:            time.Now,
		Log:                  slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	s.SetMachineTypes(map[string]resources.Amounts{"big": resources.Capacity(8, 0, 32)}, nil)
	s.Reconcile()
	l := &loadedServer{tb: tb, server: s}
	for i := range count {
		hb := wire.Heartbeat{
			Machine:      fmt.Sprintf("m-%06d", i),
			Addr:         "10.0.0.9:9000",
			Type:         "big",
			Zone:         "a",
			Incarnation:  1,
			FencingToken: 1<<32 + 1,
		}
		for n := range tasksPerMachine {
			name := wire.TaskName(spec.ID, i*tasksPerMachine+n)
			hb.Tasks = append(hb.Tasks, wire.TaskStatus{Task: name, Attempt: 1<<32 | uint64(n), Phase: wire.TaskRunning})
		}
		l.heartbeats = append(l.heartbeats, hb)
		l.heartbeat(i)
		l.record(hb.Machine)
	}
	return l
}

// record makes the server see a machine's record in the key-value store.
func (l *loadedServer) record(machine string) {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.state.HandleMachineRecord(machine, 0, inventory.Record{Type: "big", Zone: "a"}, true, l.server.clock.Now())
}

// releasePartition makes the server release its partition.
func (l *loadedServer) releasePartition() {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.state.ReleasePartition(0)
}

// heartbeat sends a heartbeat of a machine that reports no change.
func (l *loadedServer) heartbeat(i int) {
	hb := &l.heartbeats[i]
	hb.Tick++
	body, err := json.Marshal(hb)
	require.NoError(l.tb, err)
	require.Equal(l.tb, 200, l.server.HandleHeartbeat(body).Status)
}

// poll requests all machines that changed after a cursor.
func (l *loadedServer) poll(cursor uint64) peer.PollResponse {
	return l.server.HandlePoll(peer.PollRequest{Incarnation: "incarnation", Cursor: cursor, Terms: map[string]uint64{team: 1}})
}

// idleTick does what Run's loop does a few times a second when nothing happens.
func (l *loadedServer) idleTick() {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	now := l.server.clock.Now()
	l.server.state.Tick(now)
	l.server.state.UnrecordedMachines()
	l.server.state.PendingDeliveries(now)
}

// smallFleet is about the number of machines that one controller of a smaller site leads.
const smallFleet = 410
