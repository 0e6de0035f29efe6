package controller

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Guards against a delayed deletion of a machine's record while the machine has tasks. A new leader takes a machine without
// a record for gone and starts its tasks elsewhere, so that they would run twice (docs/design.md, "Why the rules hold",
// number 5). A machine is silent for longer than its lease, and the transaction that deletes its record gets no answer. The
// machine returns and gets a task, from the same partition leader or from a new process that has replaced it. Then the
// transaction arrives, which must fail, and the leader crashes.
func TestDelayedMachineRecordDeletionKeepsMachineWithTasks(t *testing.T) {
	for _, tc := range []struct {
		name     string
		replaced bool // the leader's process is replaced before the machine returns
	}{{"the same leader", false}, {"the next leader", true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSettledCluster(t, 6)
				require.Len(t, c.recordedMachines(), 6)
				lost := c.workers[0]
				leader := c.reportsTo[lost.ID]
				c.setOnCommit(func(_ string, m wire.Txn) txnOutcome {
					for _, cond := range m.Conditions {
						if strings.HasPrefix(cond.Key, kvstore.MachinePrefix) && !strings.Contains(writtenText(m), lost.ID) {
							return txnHeldBack
						}
					}
					return txnServed
				})
				allWorkers := c.workers
				c.workers = allWorkers[1:] // the lost worker sends no heartbeats for longer than its lease
				c.runFor(18*time.Second, 0)
				held := c.takeHeldTransactions()
				require.NotEmpty(t, held, "no deletion of its record was held back")
				c.setOnCommit(nil)
				if tc.replaced {
					c.replaceProcess(leader)
				}
				c.workers = allWorkers
				require.Equal(t, 201, c.post("a", wire.PathJobs, wholeMachineSubmission("job-1", 6)).Status)
				c.runFor(6*time.Second, 0)
				require.Equal(t, 6, c.runningTasks(), "the machine that has returned must get a task")
				for _, commit := range held {
					require.ErrorIs(t, commit(), kvstore.ErrConflict)
				}
				c.crash(c.reportsTo[lost.ID])
				require.True(t, c.recordedMachines()[lost.ID], "the machine has a task and no record")
				c.runFor(45*time.Second, 0)
				require.Equal(t, 6, c.runningTasks())
			})
		})
	}
}
