package partition

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// newWideFixture returns a fixture with room for thousands of small tasks by their resources.
func newWideFixture(t *testing.T) *fixture {
	s := newFixture(t)
	s.state.SetMachineTypes(map[string]resources.Amounts{"big": resources.Capacity(64, 0, 256)})
	return s
}

// smallAssignment returns an assignment of a task of 0.02 CPUs.
func smallAssignment(n int, attempt uint64) peer.Assignment {
	a := assignment(n, attempt)
	a.Need = resources.Request(0.02, 0, 0.02)
	return a
}

// assignSmall assigns tasks of 0.02 CPUs from a number on until one is rejected, and returns the number of the rejected one.
func (s *fixture) assignSmall(from int) int {
	for n := from; ; n++ {
		if !s.assignMessage(smallAssignment(n, uint64(n+1))) {
			return n
		}
	}
}

// requireHeartbeatFits requires that the worker's heartbeat fits into a request.
func requireHeartbeatFits(t *testing.T, s *fixture) {
	t.Helper()
	body, err := json.Marshal(s.worker.Heartbeat(s.now))
	require.NoError(t, err)
	require.LessOrEqual(t, len(body), wire.MaxBody, "%d tasks", len(s.worker.Tasks))
}

// Guards against a machine that gets more tasks than its worker can list in a heartbeat (review case 7): its lease would end, with all
// that is on it. Exited tasks count until they are forgotten, and then others get their place.
func TestMachineGetsOnlyTasksThatItsWorkerCanReport(t *testing.T) {
	s := newWideFixture(t)
	tasks := s.assignSmall(0)
	for range 4 {
		s.heartbeat()
		requireHeartbeatFits(t, s)
	}
	require.Len(t, s.worker.Tasks, tasks)
	for _, task := range s.worker.Tasks {
		task.Phase, task.Cause, task.Checkpointed = wire.TaskExited, wire.CauseStopped, true
	}
	requireHeartbeatFits(t, s)
	s.heartbeat()
	require.Equal(t, tasks, s.assignSmall(tasks), "exited tasks are on the list until they are forgotten")
	s.endJob()
	for range 4 {
		s.heartbeat()
	}
	require.Empty(t, s.worker.Tasks)
	s.jobs = newFakeJobLookup(wire.Job{ID: "job-1", Team: team, Priority: "normal", Tasks: 10, CPUs: 2, MemGB: 1})
	s.state.jobs = s.jobs
	require.Greater(t, s.assignSmall(2*tasks), 2*tasks)
}

// Commands go to a worker in a request too: the longest ones that go together must fit.
func TestLongestCommandsFitIntoDelivery(t *testing.T) {
	grace := math.MaxFloat64
	longest := wire.Order{Verb: wire.VerbForget, Task: wire.TaskName("job-"+strings.Repeat("9", 40), wire.MaxTasks-1),
		Attempt: math.MaxUint64, GraceS: &grace}
	delivery := wire.Orders{FencingToken: math.MaxUint64, Incarnation: math.MaxUint64}
	for range maxCommands {
		delivery.Orders = append(delivery.Orders, longest)
	}
	body, err := json.Marshal(delivery)
	require.NoError(t, err)
	require.LessOrEqual(t, len(body), wire.MaxBody)
}

// Small tasks must not shut out tasks that can use the CPUs which they leave free.
func TestSmallTasksLeaveRoomOnListToLargerOnes(t *testing.T) {
	s := newWideFixture(t)
	first := s.assignSmall(0)
	for n := first; n < first+20; n++ {
		require.True(t, s.assign(n, uint64(n+1)), "%d small tasks, then %d of two CPUs", first, n-first)
	}
}

// A job with many small tasks must not keep another job with small tasks from running at all.
func TestFirstSmallTaskOfJobGetsRoomOnList(t *testing.T) {
	s := newWideFixture(t)
	s.assignSmall(0)
	s.jobs.active["job-2"] = jobs.New(jobs.Record{Job: wire.Job{ID: "job-2", Team: team, Priority: "normal", Tasks: 10}}, jobRevision)
	for n, accepted := range []bool{true, false} {
		a := smallAssignment(n, uint64(n+1))
		a.ID.Job = "job-2"
		require.Equal(t, accepted, s.assignMessage(a), "task %d of the second job", n)
	}
}
