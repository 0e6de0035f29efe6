package tasklist

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// encode returns a value as JSON with a space after each colon and comma, the longest form that programs write.
func encode(t *testing.T, v any) string {
	t.Helper()
	b, err := json.Marshal(v)
	require.NoError(t, err)
	return strings.NewReplacer(`":`, `": `, `,"`, `, "`, `},{`, `}, {`).Replace(string(b))
}

// An entry must not outgrow what was counted for it, in whatever state the task is.
func TestEntryBytesBoundEachState(t *testing.T) {
	job, task, attempt := "job-"+strings.Repeat("9", 40), wire.MaxTasks-1, uint64(math.MaxUint64)
	causes := []string{"", wire.CauseDone, wire.CauseStopped, wire.CauseError, wire.CauseNoRoom, wire.CauseBusy, wire.CauseNoSuch}
	for _, phase := range []string{wire.TaskFetching, wire.TaskRunning, wire.TaskCheckpointing, wire.TaskExited} {
		for _, cause := range causes {
			if phase != wire.TaskExited && cause != "" {
				continue
			}
			status := wire.TaskStatus{Task: wire.TaskName(job, task), Attempt: attempt, Phase: phase, Cause: cause,
				Checkpointed: cause == wire.CauseStopped}
			require.LessOrEqual(t, len(encode(t, status)+", "), EntryBytes(peer.TaskID{Job: job, N: task, Attempt: attempt}))
		}
	}
}

// A heartbeat with a full list must fit into a request, whatever the names on it.
func TestFullListFitsIntoHeartbeat(t *testing.T) {
	for _, digits := range []int{1, 6, 40} {
		job, attempt, used := "job-"+strings.Repeat("9", digits), uint64(math.MaxUint64), 0
		hb := wire.Heartbeat{Machine: strings.Repeat("m", 150), Addr: strings.Repeat("a", 100), Type: strings.Repeat("t", 100),
			Zone: strings.Repeat("z", 100), Incarnation: attempt, Tick: attempt, FencingToken: attempt}
		for task := range wire.MaxTasks {
			entry := EntryBytes(peer.TaskID{Job: job, N: task, Attempt: attempt})
			if !Admits(used, entry, resources.Request(1, 0, 1), resources.Capacity(1000, 0, 1000), nil) {
				break
			}
			used += entry
			hb.Tasks = append(hb.Tasks, wire.TaskStatus{Task: wire.TaskName(job, task), Attempt: attempt, Phase: wire.TaskExited,
				Cause: wire.CauseStopped, Checkpointed: true})
		}
		require.LessOrEqual(t, len(encode(t, hb)), wire.MaxBody)
		require.Greater(t, len(hb.Tasks), 400)
	}
}

// A list of few tasks must have room for any task, so that callers may skip a closer look.
func TestListOfFewTasksAdmitsAnyTask(t *testing.T) {
	longest := EntryBytes(peer.TaskID{Job: "job-" + strings.Repeat("9", 40), N: wire.MaxTasks - 1, Attempt: math.MaxUint64})
	never := func() bool { return false }
	for _, cpus := range []float64{0, 0.02, 1, 64} {
		require.True(t, Admits(AmpleTasks*longest, longest, resources.Request(cpus, 0, 1), resources.Capacity(1000, 0, 1000), never))
	}
}

// Small tasks must leave room on the list for tasks that can use the free CPUs, and a few that preempt; larger tasks use it.
func TestSmallTasksLeaveRoomToLargerOnes(t *testing.T) {
	small, large := resources.Request(0.02, 0, 0.02), resources.Request(2, 0, 2)
	free := resources.Capacity(64, 0, 256)
	tasks := 0
	for ; FreeEntries(tasks, small, free) > 0; tasks++ {
		free = free.Minus(small)
	}
	require.GreaterOrEqual(t, FreeEntries(tasks, large, free), int(free.CPUs())/2)
	require.Positive(t, FreeEntries(tasks, large, resources.Amounts{}))
	require.Zero(t, FreeEntries(PlannedTasks, large, free))
	require.Greater(t, tasks, PlannedTasks*3/4, "small tasks must not be kept from most of the list")
}
