package controller

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/wire"
)

// withSmallTasks returns a submission with tasks that take hardly anything.
func withSmallTasks(body string) string {
	return strings.NewReplacer(`"cpus":2`, `"cpus":0.002`, `"mem_gb":1`, `"mem_gb":0.002`).Replace(body)
}

// Guards against small tasks that fill a machine beyond what its worker can list in a heartbeat (review case 7): all of them run, more
// than the machines can list at a time, and so do larger tasks beside them, also when the leaders change meanwhile.
func TestManySmallTasksRunWithinHeartbeatSize(t *testing.T) {
	for _, failover := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const tasks, runTime = 2500, 15 * time.Second
			c := newSettledCluster(t, 3)
			c.recordsHeartbeats = true
			require.Equal(t, 201, c.submitJob("a", withSmallTasks(unlimitedSubmission("job-1", tasks)), "job-1"))
			c.runFor(6*time.Second, runTime)
			require.Equal(t, 201, c.submitJob("b", unlimitedSubmission("job-2", 4), "job-2"))
			require.Equal(t, 201, c.submitJob("c", withSmallTasks(submission("job-3", 6)), "job-3"))
			c.runFor(4*time.Second, runTime)
			require.Equal(t, wire.Running, c.queryJob("c", "job-3"), "other small tasks must not keep it from running at all")
			if failover {
				c.restartAll()
			}
			c.runFor(30*time.Second, runTime)
			require.Equal(t, wire.Done, c.queryJob("c", "job-2"), "it has room beside small tasks from the start")
			c.runFor(90*time.Second, runTime)
			require.Equal(t, wire.Done, c.queryJob("c", "job-1"))
			require.Equal(t, wire.Done, c.queryJob("c", "job-3"))
			for _, body := range c.recordedHeartbeats {
				require.LessOrEqual(t, len(body), wire.MaxBody)
			}
		})
	}
}
