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

// A machine falls silent for its lease, and the transaction that takes it off the
// record has no answer. The machine is back, and gets work, from the same owner or the next
// one; then the transaction is carried out after all, and the owner ends. Whoever comes
// next must find a machine with tasks on record: one that isn't counts as gone, its tasks
// as free to run elsewhere.
func TestDelayedMachineRecordDeletionKeepsMachineWithTasks(t *testing.T) {
	for _, x := range []struct {
		name string
		next bool // the owner ends before the machine is back
	}{{"the same owner", false}, {"the next owner", true}} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6)
				c.runFor(8*time.Second, 0)
				require.Len(t, c.recordedMachines(), 6)
				lost := c.workers[0]
				owner := c.reportsTo[lost.ID]
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
				require.NotEmpty(t, late, "its record was to be dropped")
				c.setOnCommit(nil)
				if x.next {
					c.replaceProcess(owner)
				}
				c.workers = all
				require.Equal(t, 201, c.post("a", wire.PathJobs, wholeMachineSubmission("job-1", 6)).Status)
				c.runFor(6*time.Second, 0)
				require.Equal(t, 6, c.runningTasks(), "it is used again")
				for _, write := range late {
					require.ErrorIs(t, write(), kvstore.ErrConflict)
				}
				c.crash(c.reportsTo[lost.ID])
				require.True(t, c.recordedMachines()[lost.ID], "it has a task")
				c.runFor(45*time.Second, 0)
				require.Equal(t, 6, c.runningTasks())
			})
		})
	}
}
