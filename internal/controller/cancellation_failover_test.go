package controller

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/wire"
)

// cancelWithin is how long after the confirmation of its withdrawal a job's tasks may be there.
const cancelWithin = 36 * time.Second

// cancelled is a job whose withdrawal was confirmed, when, and how often tasks of
// it had started by then.
type cancelled struct {
	at     time.Time
	starts int
}

func (c *cluster) starts(id string) (n int) {
	for _, w := range c.workers {
		for task, k := range w.Starts {
			if strings.HasPrefix(task, id+"/") {
				n += k
			}
		}
	}
	return n
}

// checkCancelled holds the workers' tasks against the withdrawals confirmed so far.
func (c *cluster) checkCancelled() {
	for id, told := range c.cancelled {
		require.Equal(c.t, told.starts, c.starts(id), "%s has started after its withdrawal was confirmed", id)
		if time.Since(told.at) <= cancelWithin {
			continue
		}
		for _, w := range c.workers {
			for _, k := range w.InOrder() {
				require.False(c.t, k.Phase != wire.TaskExited && strings.HasPrefix(k.Task, id+"/"),
					"%s is on %s %v after its withdrawal was confirmed", k.Task, w.ID, time.Since(told.at))
			}
		}
	}
}

// on counts the tasks of a job on workers that report to a controller.
func (c *cluster) on(host, id string) (n int) {
	for _, w := range c.workers {
		for _, k := range w.InOrder() {
			if c.at[w.ID] == host && k.Phase != wire.TaskExited && strings.HasPrefix(k.Task, id+"/") {
				n++
			}
		}
	}
	return n
}

// anew ends a controller's process, starts another on the same host and waits
// until that one has the partitions again.
func (c *cluster) anew(host string) {
	c.crash(host)
	c.start(host)
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		held := 0
		for part := range partsPerController * len(hosts) {
			if _, mine := c.up[host].keeper.Leading(partition.Duty(part)); mine {
				held++
			}
		}
		if held >= partsPerController {
			return
		}
	}
	require.Fail(c.t, "the new process has not taken its partitions")
}

// The state service refuses the leading controller alone; another confirms a
// withdrawal; then the service is out for all, for longer than cancel_s, while
// workers report to the old leader. The job's tasks are gone in time all the
// same, also where the leader has just been replaced by a new process of its
// host, before the withdrawal's last owner has taken it or while its end is on
// its way to the state service: that process has never heard of the withdrawal.
func TestAWithdrawalBeforeAnOutageReachesWhoeverHoldsTheMachines(t *testing.T) {
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
				c := busyCluster(t)
				via := c.leader()
				leader, third := "", ""
				for _, h := range hosts {
					if h != via && leader == "" && c.on(h, "job-1") > 0 {
						leader = h
					} else if h != via {
						third = h
					}
				}
				require.NotEmpty(t, leader, "some other controller has tasks of the job")
				// Where it is unreachable, no worker hears the stops that the first process sends.
				refuse := func() {
					c.anew(leader)
					c.up[leader].view.SetCut(true)
				}
				switch x.replaced {
				case "after its answer":
					c.unreachable[leader] = true
					c.setCut(third, true)
					require.Empty(t, c.cancel(via, "job-1"), "the third controller has not taken it")
					refuse()
					c.unreachable[leader] = false
					c.setCut(third, false)
				case "in flight":
					c.unreachable[leader] = true
					c.setBefore(func(host string, m wire.Txn) lot {
						if host == via && strings.Contains(puts(m), kvstore.FinalJobPrefix+"job-1") && c.note("the end was on its way") == 1 {
							refuse()
							c.unreachable[leader] = false
						}
						return served
					})
					defer func() { require.NotZero(t, c.count("the end was on its way")) }()
				case "after the confirmation":
					c.unreachable[leader] = true
				default:
					c.up[leader].view.SetCut(true)
				}
				told := false
				for range 8 {
					if told = c.cancel(via, "job-1") == wire.Cancelled; told {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				require.True(t, told, "others confirm while the leader is refused")
				if x.replaced == "after the confirmation" {
					require.NotZero(t, c.on(leader, "job-1"), "its workers have not heard of it")
					refuse() // it finds the end in its replica, as it has taken its partitions since
					c.unreachable[leader] = false
				}
				time.Sleep(400 * time.Millisecond)
				_, _, err := c.up[leader].view.Get(t.Context(), kvstore.FinalJobPrefix+"job-1")
				require.ErrorIs(t, err, kvstore.ErrRefused)
				c.st.SetDown(true)
				c.run(60*time.Second, 0)
				require.Zero(t, c.running())
				c.st.SetDown(false)
				c.up[leader].view.SetCut(false)
				c.run(30*time.Second, 0)
				for _, h := range hosts {
					require.Equal(t, wire.Cancelled, c.phase(h, "job-1"))
				}
			})
		})
	}
}

// A withdrawal's end has no answer, and its placer ends. Where it was carried out, the job
// is cancelled and stays so. Where it comes late, nobody has been told: the next placer
// goes on with the job, and the late end changes nothing.
func TestAWithdrawalWhosePlacerEnds(t *testing.T) {
	for _, x := range []struct {
		name string
		lot  lot
	}{{"carried out, the answer is lost", answerLost}, {"carried out late", heldBack}} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := busyCluster(t)
				leader := c.leader()
				c.setBefore(func(host string, m wire.Txn) lot {
					if host == leader && strings.Contains(puts(m), kvstore.FinalJobPrefix) {
						c.note("the end is written")
						return x.lot
					}
					return served
				})
				c.setBehind(leader, 4*time.Second) // it does not read its own write meanwhile
				require.Empty(t, c.cancel(leader, "job-1"), "nothing is told while its end may be written or not")
				require.Equal(t, "503", c.ask(leader, "job-1"))
				require.NotZero(t, c.count("the end is written"))
				c.crash(leader)
				c.setBehind(leader, 0)
				c.setBefore(nil)
				late := c.takeKept()
				c.run(time.Second, 0)
				c.start(leader)
				c.run(8*time.Second, 0)
				if x.lot == answerLost {
					require.Zero(t, c.running())
					for _, h := range hosts {
						require.Equal(t, wire.Cancelled, c.ask(h, "job-1"))
					}
					return
				}
				require.Equal(t, 6, c.running(), "it goes on")
				for _, write := range late {
					require.ErrorIs(t, write(), kvstore.ErrConflict)
				}
				c.run(15*time.Second, 3*time.Second)
				for _, h := range hosts {
					require.Equal(t, wire.Done, c.ask(h, "job-1"))
				}
			})
		})
	}
}

// onAll submits a job of the team without a limit, each of whose tasks takes a whole machine.
func onAll(id string, tasks int) string {
	return strings.NewReplacer(`"red"`, `"blue"`, `"cpus":2`, `"cpus":8`).Replace(submission(id, tasks))
}

// puts lists the keys that a transaction writes.
func puts(m wire.Txn) string {
	var keys []string
	for _, op := range m.Operations {
		keys = append(keys, op.Put)
	}
	return strings.Join(keys, " ")
}
