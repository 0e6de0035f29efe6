package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

func TestJobOfRecordHasRequestAndPriorityLevel(t *testing.T) {
	j := New(Record{Job: wire.Job{CPUs: 1.5, GPUs: 1, MemGB: 2, Priority: "high"}}, 7)
	require.Equal(t, resources.Amounts{CPU: 1_500_000, GPU: 1_000_000, Mem: 2_000_000}, j.Need)
	require.Equal(t, 2, j.PriorityLevel)
	require.EqualValues(t, 7, j.ModRevision)
}

func TestStopGraceCoversCheckpointOnlyIfJobTakesCheckpoints(t *testing.T) {
	withCheckpoints := New(Record{Job: wire.Job{CheckpointIntervalS: 30, CheckpointDurationS: 4}}, 1)
	require.InDelta(t, 4.1, withCheckpoints.StopGraceS(), 1e-9)
	withoutCheckpoints := New(Record{Job: wire.Job{CheckpointDurationS: 4}}, 1)
	require.Zero(t, withoutCheckpoints.StopGraceS())
}

func TestStateOfFinalJobCountsTasksOnlyWhenDone(t *testing.T) {
	done := Final{Phase: wire.Done, Team: "red", Tasks: 16}
	require.Equal(t, wire.JobState{ID: "job-1", Phase: wire.Done, Done: 16}, done.State("job-1"))
	cancelled := Final{Phase: wire.Cancelled, Team: "red", Tasks: 16}
	require.Equal(t, wire.JobState{ID: "job-1", Phase: wire.Cancelled}, cancelled.State("job-1"))
}

func TestRecordWithEndPhaseHasEnded(t *testing.T) {
	r := Record{Job: wire.Job{Team: "red", Tasks: 16}}
	_, ended := r.FinalState()
	require.False(t, ended)
	r.EndPhase = wire.Done
	f, ended := r.FinalState()
	require.True(t, ended)
	require.Equal(t, Final{Phase: wire.Done, Team: "red", Tasks: 16}, f)
}
