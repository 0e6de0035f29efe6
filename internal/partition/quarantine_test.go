package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Tasks of several jobs fail on one machine. The machine is at fault and must be quarantined; a single failed job
// only cordons it for a while.
func TestMachineFailingSeveralJobsIsQuarantined(t *testing.T) {
	s := newFixture(t)
	spec := wire.Job{ID: "job-2", Team: team, Priority: "normal", Tasks: 10, CPUs: 2, MemGB: 1}
	s.jobs.active["job-2"] = jobs.New(jobs.Record{Job: spec}, 6)
	require.True(t, s.assign(0, 1))
	a := assignment(0, 2)
	a.ID.Job = "job-2"
	require.False(t, s.sendBatch(peer.Batch{Asks: []peer.Assignment{a}}).Refused[0])
	s.heartbeat()
	s.worker.Finish("job-1/0", wire.CauseError)
	s.heartbeat()
	require.False(t, s.state.machines["m-1"].failures.quarantined)
	require.False(t, s.state.machines["m-1"].usable(s.now), "the machine is cordoned after its first failure")
	s.worker.Finish("job-2/0", wire.CauseError)
	s.heartbeat()
	require.True(t, s.state.machines["m-1"].failures.quarantined)
}
