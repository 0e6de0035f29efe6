package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
	"github.com/merlinlatch/merlinlatch/wire"
)

// claims lists all claims as the state service has them.
func (c *cluster) claims() map[string]leaderelection.Record {
	out := map[string]leaderelection.Record{}
	items, _, err := c.direct().List(c.t.Context(), kvstore.LeaderPrefix)
	if err != nil {
		return out // in an outage
	}
	for _, it := range items {
		var r leaderelection.Record
		require.NoError(c.t, json.Unmarshal(it.Value, &r))
		out[strings.TrimPrefix(it.Key, kvstore.LeaderPrefix)] = r
	}
	return out
}

// moved counts the claims that have a new holder since.
func (c *cluster) moved(before map[string]leaderelection.Record) (n int) {
	for duty, r := range c.claims() {
		if r.Term > before[duty].Term {
			n++
		}
	}
	return n
}

// busyCluster is six machines, each taken by a task of job-1.
func busyCluster(t *testing.T) *cluster {
	c := newCluster(t, 6)
	c.run(8*time.Second, 0)
	require.Equal(t, 201, c.submit("a", onAll("job-1", 6), "job-1"))
	c.run(4*time.Second, 0)
	require.Equal(t, 6, c.running())
	return c
}

// leader is who places the jobs of the team blue.
func (c *cluster) leader() string { return c.placerOf("blue") }

func (c *cluster) placerOf(team string) string {
	h, ok := c.claims()[scheduler.Duty(team)]
	require.True(c.t, ok)
	return h.Leader
}

// isolate has a controller lose the state service and its peers, or reach them again;
// the workers that report to it reach nobody else meanwhile.
func (c *cluster) isolate(host string, alone bool) {
	c.up[host].view.SetCut(alone)
	c.setCut(host, alone)
	clear(c.only)
	for _, w := range c.workers {
		if alone && c.at[w.ID] == host {
			c.only[w.ID] = host
		}
	}
}

// finish has a task done.
func (c *cluster) finish(task string) {
	for _, w := range c.workers {
		w.Finish(task, wire.CauseDone)
	}
}

// jobName is the id of a user's i-th job.
func jobName(i int) string { return fmt.Sprintf("job-%06d", i) }

// startedOnce holds that no task was ever started a second time.
func (c *cluster) startedOnce() {
	starts := map[string]int{}
	for _, w := range c.workers {
		for task, n := range w.Starts {
			starts[task] += n
		}
	}
	for task, n := range starts {
		require.Equal(c.t, 1, n, task)
	}
}

// A controller loses the state service and its peers, not its workers and users. Others
// take its duties once its hold is over, and jobs are withdrawn through them. Nobody
// hears anything older from it, and its workers' tasks are gone in time.
func TestWithdrawalsThroughTheSuccessorOfACutOffLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := busyCluster(t)
		leader := c.leader()
		c.isolate(leader, true)
		require.NotEmpty(t, c.only)
		heard := 0
		asking := func() {
			if p := c.ask(leader, "job-1"); len(p) > 3 {
				heard++
			}
			for _, h := range hosts {
				if h != leader && c.cancelled["job-1"].at.IsZero() {
					c.cancel(h, "job-1")
				}
			}
		}
		c.runAnd(30*time.Second, 0, asking)
		require.NotZero(t, heard, "it has answered its users meanwhile")
		require.NotEqual(t, leader, c.leader())
		c.runAnd(15*time.Second, 0, asking)
		require.False(t, c.cancelled["job-1"].at.IsZero(), "confirmed by its successor")
		c.runAnd(45*time.Second, 0, asking)
		require.Zero(t, c.running())
		c.isolate(leader, false)
		c.runAnd(20*time.Second, 0, asking)
		require.Equal(t, wire.Cancelled, c.ask(leader, "job-1"))
	})
}

// A zone with workers and a controller is cut off for longer than the workers' lease:
// they reach that controller alone, and it nobody else.
func TestAZoneThatIsCutOffForLongerThanALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := busyCluster(t)
		zone := c.at[c.workers[0].ID]
		before := c.claims()
		c.isolate(zone, true)
		c.run(50*time.Second, 0)
		require.GreaterOrEqual(t, c.moved(before), partsPerController, "its duties are others'")
		for duty, r := range c.claims() {
			require.NotEqual(t, zone, r.Leader, duty)
		}
		for _, w := range c.workers {
			require.Equal(t, c.only[w.ID] != "", w.Session > 1, "%s: its lease ended", w.ID)
		}
		c.isolate(zone, false)
		c.run(30*time.Second, 4*time.Second)
		for _, h := range hosts {
			require.Equal(t, wire.Done, c.ask(h, "job-1"))
		}
	})
}

// All controllers are away for longer than the workers' lease. Nothing is forgotten,
// and what ran runs again, once.
func TestAllControllersAreAwayForLongerThanALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := busyCluster(t)
		for _, h := range hosts {
			c.crash(h)
		}
		c.run(20*time.Second, 0)
		require.Zero(t, c.running(), "their leases have ended")
		for _, h := range hosts {
			c.start(h)
		}
		c.run(8*time.Second, 0)
		require.Equal(t, 6, c.running())
		c.run(15*time.Second, 3*time.Second)
		require.Equal(t, wire.Done, c.ask("b", "job-1"))
		for _, w := range c.workers {
			require.EqualValues(t, 2, w.Session)
		}
	})
}

// A leader ends while machines with long tasks hang, or don't hear the new leader's
// answers. Back within their lease they go on with what they have; after it that has
// gone elsewhere, or begins anew.
func TestALeaderEndsWhileMachinesCannotBeReached(t *testing.T) {
	for _, x := range []struct {
		name string
		by   func(c *cluster) map[string]bool
		away time.Duration
	}{
		{"machines hang, not for long", func(c *cluster) map[string]bool { return c.hung }, 8 * time.Second},
		{"machines hang for longer than a lease", func(c *cluster) map[string]bool { return c.hung }, 40 * time.Second},
		{"answers are lost, not for long", func(c *cluster) map[string]bool { return c.unheard }, 8 * time.Second},
		{"answers are lost for longer than a lease", func(c *cluster) map[string]bool { return c.unheard }, 40 * time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := busyCluster(t)
				leader := c.at[c.workers[0].ID]
				before := c.claims()
				away := 0
				for _, w := range c.workers {
					if c.at[w.ID] == leader {
						x.by(c)[w.ID] = true
						away++
					}
				}
				require.NotZero(t, away)
				c.crash(leader)
				c.run(500*time.Millisecond, 0)
				c.start(leader)
				c.run(x.away, 0)
				require.GreaterOrEqual(t, c.moved(before), partsPerController, "a new process leads")
				clear(x.by(c))
				c.run(12*time.Second, 0)
				require.Equal(t, 6, c.running())
				if x.away < 16*time.Second {
					c.startedOnce()
				}
				c.run(20*time.Second, 3*time.Second)
				require.Equal(t, wire.Done, c.ask("b", "job-1"))
			})
		})
	}
}

// Old reports, from earlier attempts and sessions too, reach every controller just as
// a new leader begins, and again when it has acted. They change nothing.
func TestOldReportsReachEverybodyAsANewLeaderBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.run(8*time.Second, 0)
		c.keepCopies = true
		require.Equal(t, 201, c.submit("a", onAll("job-1", 6), "job-1"))
		c.run(3*time.Second, 0)
		require.Equal(t, 6, c.running())
		c.keepCopies = false
		c.run(6*time.Second, 2*time.Second) // those tasks are done and forgotten
		require.Equal(t, wire.Done, c.ask("a", "job-1"))
		require.Equal(t, 201, c.submit("a", onAll("job-2", 6), "job-2"))
		c.run(4*time.Second, 0)
		require.Equal(t, 6, c.running())
		old := c.copies
		withTasks, answered := 0, map[int]int{}
		deliver := func() {
			for _, b := range old {
				if strings.Contains(string(b), "job-1/") {
					withTasks++
				}
				for _, h := range hosts {
					if c.up[h] != nil {
						answered[c.do(h, "POST", wire.PathHeartbeat, string(b)).Status]++
					}
				}
			}
		}
		leader := c.at[c.workers[0].ID]
		before := c.claims()
		c.crash(leader)
		c.start(leader)
		for range 60 { // every 50 ms, from before it is registered on
			deliver()
			time.Sleep(50 * time.Millisecond)
		}
		c.runAnd(5*time.Second, 0, deliver)
		require.NotZero(t, withTasks)
		require.NotZero(t, answered[200], "to the new leader a report is news")
		require.NotZero(t, answered[503], "and then it is not")
		require.NotZero(t, answered[421])
		require.GreaterOrEqual(t, c.moved(before), partsPerController, "a new process leads")
		require.Equal(t, 6, c.running(), "what ran runs on")
		c.startedOnce()
		c.runAnd(10*time.Second, 3*time.Second, deliver)
		for _, h := range hosts {
			require.Equal(t, wire.Done, c.ask(h, "job-1"))
			require.Equal(t, wire.Done, c.ask(h, "job-2"))
		}
		c.startedOnce()
	})
}

// Machines are up at once and get work within a moment, while transactions come late
// and the leader ends. No machine has a task without being on record.
func TestNewMachinesWhileWritesLagAndTheLeaderEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.run(8*time.Second, 0)
		require.Equal(t, 201, c.submit("a", onAll("job-1", 6), "job-1"))
		c.run(2*time.Second, 0)
		require.Equal(t, 2, c.running())
		c.setBefore(func(_ string, m wire.Txn) lot {
			if strings.Contains(puts(m), kvstore.MachinePrefix) {
				c.note("a record was held back")
				return heldBack
			}
			return served
		})
		recorded := func() {
			on := c.recorded()
			for _, w := range c.workers {
				if len(w.Tasks) > 0 {
					require.True(c.t, on[w.ID], "%s has tasks and no record", w.ID)
				}
			}
		}
		for i := 2; i < 6; i++ {
			w := fakes.NewWorker(fmt.Sprintf("m-%06d", i), 16e6, c.clock.Now())
			c.workers = append(c.workers, w)
			c.at[w.ID] = hosts[i%3]
		}
		for i := range 3 {
			c.runAnd(3*time.Second, 0, recorded)
			leader := []string{c.leader(), c.at[c.workers[2].ID], c.at[c.workers[5].ID]}[i]
			c.crash(leader)
			c.start(leader)
		}
		c.runAnd(12*time.Second, 0, recorded)
		require.Equal(t, 2, c.running())
		require.Greater(t, c.count("a record was held back"), 1)
		c.setBefore(nil)
		c.release()
		c.runAnd(12*time.Second, 0, recorded)
		require.Equal(t, 6, c.running())
		c.startedOnce()
		c.run(10*time.Second, 3*time.Second)
		require.Equal(t, wire.Done, c.ask("c", "job-1"))
	})
}

// Leaders change ten times in two minutes: they end, are back within a moment or
// seconds later, all of them or one alone, are refused and served again, also while the state service is out.
// Jobs of two or three tasks end far apart over this, and some are withdrawn.
func TestLeadersChangeTenTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.run(8*time.Second, 0)
		n := 0
		cancelled := 0
		users := func() {
			if id := jobName(n); n < 24 && c.submit(hosts[n%3], submission(id, 2+n%2), id) == 201 {
				n++
			}
			for i := range n {
				c.ask(hosts[(n+i)%3], jobName(i))
			}
			if n > 6 && n%5 == 0 && c.cancel(hosts[n%3], jobName(n-2)) == wire.Cancelled {
				cancelled++
			}
		}
		// A job whose tasks end far apart: one of them right now, the last at the very end.
		require.Equal(t, 201, c.submit("a", onAll("job-000099", 3), "job-000099"))
		c.run(3*time.Second, 0)
		terms := map[uint64]bool{}
		for i := range 10 {
			leader := c.leader()
			switch i % 5 {
			case 0:
				c.crash(leader)
				time.Sleep(300 * time.Millisecond)
				c.start(leader)
			case 1:
				c.up[leader].view.SetCut(true)
				c.runAnd(8*time.Second, 6*time.Second, users)
				c.up[leader].view.SetCut(false)
			case 2: // in an outage
				c.st.SetDown(true)
				c.runAnd(3*time.Second, 6*time.Second, users)
				c.crash(leader)
				time.Sleep(200 * time.Millisecond)
				c.start(leader)
				c.runAnd(3*time.Second, 6*time.Second, users)
				c.st.SetDown(false)
			case 3:
				for _, h := range hosts {
					c.crash(h)
				}
				time.Sleep(700 * time.Millisecond)
				c.start(leader)
				c.runAnd(2*time.Second, 6*time.Second, users)
				for _, h := range hosts {
					if h != leader {
						c.start(h)
					}
				}
			case 4:
				c.crash(leader)
				c.runAnd(4*time.Second, 6*time.Second, users)
				c.start(leader)
			}
			c.runAnd(5*time.Second, 6*time.Second, users)
			terms[c.claims()[scheduler.Duty("blue")].Term] = true
			if i == 4 {
				c.finish("job-000099/1")
			}
		}
		require.GreaterOrEqual(t, len(terms), 10, "as many leaders")
		require.NotZero(t, cancelled)
		require.Equal(t, 24, n)
		c.run(60*time.Second, 4*time.Second)
		for i := range n {
			for _, h := range hosts {
				require.Contains(t, []string{wire.Done, wire.Cancelled}, c.ask(h, jobName(i)), jobName(i))
			}
		}
		require.Equal(t, wire.Done, c.ask("a", "job-000099"))
		for _, w := range c.workers {
			require.LessOrEqual(t, w.Starts["job-000099/1"], 1, "what was done stays done")
		}
	})
}

// A job's tasks end far apart. The first is done, but writing that down has no answer
// until the leader has ended: it is not run again, and the job is done with
// its last task and not before.
func TestTasksThatEndFarApartOverAChangeOfLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6)
		c.run(8*time.Second, 0)
		require.Equal(t, 201, c.submit("a", onAll("job-1", 3), "job-1"))
		c.run(4*time.Second, 0)
		require.Equal(t, 3, c.running())
		c.setBefore(func(_ string, m wire.Txn) lot {
			if strings.Contains(puts(m), kvstore.ProgressPrefix) {
				c.note("progress was held back")
				return heldBack
			}
			return served
		})
		for n := range 2 {
			c.finish(fmt.Sprintf("job-1/%d", n))
			c.run(6*time.Second, 0)
			require.Greater(t, c.count("progress was held back"), n, "what is done could not be written down")
			before, leader := c.claims()[scheduler.Duty("blue")], c.leader()
			late := c.takeKept()
			c.crash(leader)
			c.start(leader)
			c.run(6*time.Second, 0)
			require.Greater(t, c.claims()[scheduler.Duty("blue")].Term, before.Term)
			for _, write := range late {
				require.ErrorIs(t, write(), kvstore.ErrConflict, "by a former leader")
			}
			require.Equal(t, wire.Running, c.ask("a", "job-1"))
			require.Equal(t, 2-n, c.running())
		}
		c.setBefore(nil)
		c.finish("job-1/2")
		c.run(4*time.Second, 0)
		for _, h := range hosts {
			require.Equal(t, wire.Done, c.ask(h, "job-1"))
		}
		c.startedOnce()
	})
}

// Jobs bound to one zone, or to any one of them, lose machines. They go on in that zone,
// or begin again together.
func TestJobsOfOneZoneLoseMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		for i, w := range c.workers {
			w.Zone = hosts[i%2] // a and b
		}
		c.run(8*time.Second, 0)
		require.Equal(t, 201, c.submit("a", strings.Replace(onAll("job-1", 3), `"shape"`, `"one_zone":true,"shape"`, 1), "job-1"))
		require.Equal(t, 201, c.submit("a", strings.Replace(onAll("job-2", 1), `"shape"`, `"yard":"b","shape"`, 1), "job-2"))
		together := func() {
			zones := map[string]map[string]bool{"job-1": {}, "job-2": {}}
			for _, w := range c.workers {
				for _, k := range w.InOrder() {
					job, _, _ := wire.SplitTask(k.Task)
					if k.Phase != wire.TaskExited {
						zones[job][w.Zone] = true
					}
				}
			}
			require.LessOrEqual(t, len(zones["job-1"]), 1)
			require.NotContains(t, zones["job-2"], "a")
		}
		c.runAnd(5*time.Second, 0, together)
		require.Equal(t, 4, c.running())
		for round := range 3 {
			lost := 0
			for _, w := range c.workers {
				if len(w.Tasks) > 0 && lost < 2 && !c.hung[w.ID] {
					c.hung[w.ID] = true
					lost++
				}
			}
			require.Equal(t, 2, lost)
			if round == 1 {
				leader := c.leader()
				c.crash(leader)
				c.start(leader)
			}
			c.runAnd(25*time.Second, 0, together)
			clear(c.hung)
			c.runAnd(8*time.Second, 0, together)
			require.Equal(t, 4, c.running())
		}
		c.runAnd(30*time.Second, 3*time.Second, together)
		require.Equal(t, wire.Done, c.ask("a", "job-1"))
		require.Equal(t, wire.Done, c.ask("a", "job-2"))
	})
}

// More work than room, of all ranks, while every word between the controllers takes a
// fifth of a second and a leader ends. The limit holds, and all of it is done.
func TestMoreWorkThanRoomOverSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.run(8*time.Second, 0)
		c.setLag(200 * time.Millisecond)
		const many = 16
		ranks := []string{"idle", "normal", "high", "production"}
		for i := range many {
			body := strings.Replace(submission(jobName(i), 4), `"normal"`, fmt.Sprintf("%q", ranks[i%4]), 1)
			require.Equal(t, 201, c.submit(hosts[i%3], body, jobName(i)))
		}
		c.run(5*time.Second, 2*time.Second)
		require.Positive(t, c.running())
		leader := c.leader()
		c.crash(leader)
		c.start(leader)
		c.run(90*time.Second, 2*time.Second)
		for i := range many {
			require.Equal(t, wire.Done, c.ask(hosts[i%3], jobName(i)), jobName(i))
		}
	})
}
