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

// A machine is silent for its lease, and the transaction that deletes its
// record has no answer. The machine is back, and gets work, from the same partition leader or the next
// one; then the transaction is carried out after all, and the leader crashes. The next leader
// must find a machine with tasks on record: one that isn't counts as gone, its tasks
// as free to run elsewhere (argument 5).
func TestDelayedMachineRecordDeletionKeepsMachineWithTasks(t *testing.T) {
	for _, x := range []struct {
		name string
		next bool // the leader's process is replaced before the machine is back
	}{{"the same leader", false}, {"the next leader", true}} {
		t.Run(x.name, func(t *testing.T) {
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
				all := c.workers
				c.workers = all[1:] // it is away for longer than its lease
				c.runFor(18*time.Second, 0)
				late := c.takeHeldTransactions()
				require.NotEmpty(t, late, "its record was to be deleted")
				c.setOnCommit(nil)
				if x.next {
					c.replaceProcess(leader)
				}
				c.workers = all
				require.Equal(t, 201, c.post("a", wire.PathJobs, wholeMachineSubmission("job-1", 6)).Status)
				c.runFor(6*time.Second, 0)
				require.Equal(t, 6, c.runningTasks(), "it is used again")
				for _, commit := range late {
					require.ErrorIs(t, commit(), kvstore.ErrConflict)
				}
				c.crash(c.reportsTo[lost.ID])
				require.True(t, c.recordedMachines()[lost.ID], "it has a task")
				c.runFor(45*time.Second, 0)
				require.Equal(t, 6, c.runningTasks())
			})
		})
	}
}
