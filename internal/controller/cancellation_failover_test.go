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

// The state service refuses the leading controller alone; another confirms a
// withdrawal; then the service is out for all, for longer than cancel_s, while
// workers report to the old leader. The job's tasks are gone in time all the
// same, also where the leader has just been replaced by a new process of its
// host, before the withdrawal's last owner has taken it or while its end is on
// its way to the state service: that process has never heard of the withdrawal.
func TestCancellationBeforeStoreOutageReachesPartitionLeaders(t *testing.T) {
	for _, x := range []struct {
		name     string
		replaced string // when the leader's process is replaced
	}{
		{"the leader stays", ""},
		{"replaced after it has taken the withdrawal", "after its answer"},
		{"replaced while the end is on its way", "in flight"},
		{"replaced after the confirmation", "after the confirmation"},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newBusyCluster(t)
				via := c.unlimitedTeamLeader()
				leader, third := "", ""
				for _, h := range hosts {
					if h != via && leader == "" && c.tasksOn(h, "job-1") > 0 {
						leader = h
					} else if h != via {
						third = h
					}
				}
				require.NotEmpty(t, leader, "some other controller has tasks of the job")
				// Where it is unreachable, no worker hears the stops that the first process sends.
				refuse := func() {
					c.replaceProcess(leader)
					c.processes[leader].storeClient.SetCut(true)
				}
				switch x.replaced {
				case "after its answer":
					c.unreachable[leader] = true
					c.setDisconnected(third, true)
					require.Empty(t, c.cancelJob(via, "job-1"), "the third controller has not taken it")
					refuse()
					c.unreachable[leader] = false
					c.setDisconnected(third, false)
				case "in flight":
					c.unreachable[leader] = true
					c.setOnCommit(func(host string, m wire.Txn) txnOutcome {
						if host == via && strings.Contains(writtenKeys(m), kvstore.FinalJobPrefix+"job-1") && c.addOccurrence("the end was on its way") == 1 {
							refuse()
							c.unreachable[leader] = false
						}
						return txnServed
					})
					defer func() { require.NotZero(t, c.occurrenceCount("the end was on its way")) }()
				case "after the confirmation":
					c.unreachable[leader] = true
				default:
					c.processes[leader].storeClient.SetCut(true)
				}
				told := false
				for range 8 {
					if told = c.cancelJob(via, "job-1") == wire.Cancelled; told {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				require.True(t, told, "others confirm while the leader is refused")
				if x.replaced == "after the confirmation" {
					require.NotZero(t, c.tasksOn(leader, "job-1"), "its workers have not heard of it")
					refuse() // it finds the end in its replica, as it has taken its partitions since
					c.unreachable[leader] = false
				}
				time.Sleep(400 * time.Millisecond)
				_, _, err := c.processes[leader].storeClient.Get(t.Context(), kvstore.FinalJobPrefix+"job-1")
				require.ErrorIs(t, err, kvstore.ErrRefused)
				c.store.SetDown(true)
				c.runFor(60*time.Second, 0)
				require.Zero(t, c.runningTasks())
				c.store.SetDown(false)
				c.processes[leader].storeClient.SetCut(false)
				c.runFor(30*time.Second, 0)
				for _, h := range hosts {
					require.Equal(t, wire.Cancelled, c.jobPhase(h, "job-1"))
				}
			})
		})
	}
}

// A withdrawal's end has no answer, and its placer ends. Where it was carried out, the job
// is cancelled and stays so. Where it comes late, nobody has been told: the next placer
// goes on with the job, and the late end changes nothing.
func TestUnansweredCancellationIsResolvedAfterTeamLeaderCrash(t *testing.T) {
	for _, x := range []struct {
		name string
		lot  txnOutcome
	}{{"carried out, the answer is lost", responseLost}, {"carried out late", txnHeldBack}} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newBusyCluster(t)
				leader := c.unlimitedTeamLeader()
				c.setOnCommit(func(host string, m wire.Txn) txnOutcome {
					if host == leader && strings.Contains(writtenKeys(m), kvstore.FinalJobPrefix) {
						c.addOccurrence("the end is written")
						return x.lot
					}
					return txnServed
				})
				c.setReplicaDelay(leader, 4*time.Second) // it does not read its own write meanwhile
				require.Empty(t, c.cancelJob(leader, "job-1"), "nothing is told while its end may be written or not")
				require.Equal(t, "503", c.queryJob(leader, "job-1"))
				require.NotZero(t, c.occurrenceCount("the end is written"))
				c.crash(leader)
				c.setReplicaDelay(leader, 0)
				c.setOnCommit(nil)
				late := c.takeHeldTransactions()
				c.runFor(time.Second, 0)
				c.start(leader)
				c.runFor(8*time.Second, 0)
				if x.lot == responseLost {
					require.Zero(t, c.runningTasks())
					for _, h := range hosts {
						require.Equal(t, wire.Cancelled, c.queryJob(h, "job-1"))
					}
					return
				}
				require.Equal(t, 6, c.runningTasks(), "it goes on")
				for _, write := range late {
					require.ErrorIs(t, write(), kvstore.ErrConflict)
				}
				c.runFor(15*time.Second, 3*time.Second)
				for _, h := range hosts {
					require.Equal(t, wire.Done, c.queryJob(h, "job-1"))
				}
			})
		})
	}
}

// A controller loses the state service and its peers, not its workers and users. Others
// take its duties once its hold is over, and jobs are withdrawn through them. Nobody
// hears anything older from it, and its workers' tasks are gone in time.
func TestCancellationThroughSuccessorOfIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newBusyCluster(t)
		leader := c.unlimitedTeamLeader()
		c.isolate(leader, true)
		require.NotEmpty(t, c.pinnedTo)
		heard := 0
		asking := func() {
			if p := c.queryJob(leader, "job-1"); len(p) > 3 {
				heard++
			}
			for _, h := range hosts {
				if h != leader && c.cancelled["job-1"].confirmedAt.IsZero() {
					c.cancelJob(h, "job-1")
				}
			}
		}
		c.runForEach(30*time.Second, 0, asking)
		require.NotZero(t, heard, "it has answered its users meanwhile")
		require.NotEqual(t, leader, c.unlimitedTeamLeader())
		c.runForEach(15*time.Second, 0, asking)
		require.False(t, c.cancelled["job-1"].confirmedAt.IsZero(), "confirmed by its successor")
		c.runForEach(45*time.Second, 0, asking)
		require.Zero(t, c.runningTasks())
		c.isolate(leader, false)
		c.runForEach(20*time.Second, 0, asking)
		require.Equal(t, wire.Cancelled, c.queryJob(leader, "job-1"))
	})
}
