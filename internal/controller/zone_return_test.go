package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// newTwoZoneCluster makes a cluster with controllers a and b in zone a, controller c in zone b, and workers in both zones. The
// workers of zone b report to c. If zoneReturn is set, work returns to a zone in stages.
func newTwoZoneCluster(t *testing.T, zoneReturn bool) *cluster {
	script := "history = True\n"
	if zoneReturn {
		script += "zone_return = True\n"
	}
	c := newClusterWithOptions(t, 12, clusterOptions{policyScript: script,
		hostZones: map[string]string{"a": "a", "b": "a", "c": "b"}})
	for i, w := range c.workers {
		if i%2 == 1 {
			w.Zone = "b"
			c.reportsTo[w.ID] = "c"
		}
	}
	c.runFor(8*time.Second, 0)
	return c
}

// setZoneDisconnected disconnects zone b, with its controller and its workers, or reconnects it.
func (c *cluster) setZoneDisconnected(disconnected bool) {
	c.setStoreDisconnected("c", disconnected)
	c.setDisconnected("c", disconnected)
	clear(c.pinnedTo)
	for _, w := range c.workers {
		if disconnected && w.Zone == "b" {
			c.pinnedTo[w.ID] = "c"
		}
	}
}

// timetable has the actions that are to be executed at given times while a cluster runs.
type timetable []timedAction

// timedAction is an action that is executed once its time has come. After that, do is nil.
type timedAction struct {
	at time.Time
	do func()
}

// after adds an action that is to be executed after a delay.
func (t *timetable) after(d time.Duration, do func()) {
	*t = append(*t, timedAction{time.Now().Add(d), do})
}

// run executes the actions that are due.
func (t *timetable) run() {
	for i, action := range *t {
		if action.do != nil && !time.Now().Before(action.at) {
			(*t)[i].do = nil
			action.do()
		}
	}
}

// zoneState returns the record of zone b in a controller's replica.
func (c *cluster) zoneState(host string) zone.Record {
	return c.process(host).ZoneRecords()["b"].Record
}

// submitWithPriority submits a job of unlimitedTeam at controller a, which is never disconnected.
func (c *cluster) submitWithPriority(id, priority string, tasks int) {
	body := strings.Replace(unlimitedSubmission(id, tasks), `"rank":"normal"`, fmt.Sprintf(`"rank":%q`, priority), 1)
	require.Equal(c.t, 201, c.post("a", wire.PathJobs, body).Status)
}

// historyEvents returns the history events of all controllers.
func (c *cluster) historyEvents() (out []history.Event) {
	for _, h := range hosts {
		out = append(out, c.process(h).history.Page(0, 100_000).Events...)
	}
	return out
}

// firstStarts returns, by job, when a task of the job was first seen running in zone b at or after a time in Unix milliseconds.
func (c *cluster) firstStarts(afterMS int64) map[string]int64 {
	out := map[string]int64{}
	for _, e := range c.historyEvents() {
		if e.Kind == history.TaskRunning && e.Zone == "b" && e.AtMS >= afterMS && (out[e.Job] == 0 || e.AtMS < out[e.Job]) {
			out[e.Job] = e.AtMS
		}
	}
	return out
}

// earlyStarts lists the attempts that started in zone b between a time in Unix milliseconds and the stage that admits urgent
// work.
func (c *cluster) earlyStarts(afterMS int64) (out []history.Event) {
	events := c.historyEvents()
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.AtMS, b.AtMS) })
	before := map[uint64]bool{}
	for _, e := range events {
		switch {
		case e.AtMS < afterMS:
			before[e.Attempt] = true
		case e.Kind == history.ZoneChanged && e.Note == "returning urgent":
			return out
		case e.Kind == history.TaskRunning && e.Zone == "b" && !before[e.Attempt]:
			out = append(out, e)
		}
	}
	return out
}

// requireDoneOnce requires that every controller reports the jobs as done, that at least one controller has recorded the end of
// each job in its history, that none has recorded it twice, and that history.Check finds no violation. A controller that was
// disconnected when a job ended need not have recorded the end: it may answer with the state that the
// leader of the job's team gives.
func (c *cluster) requireDoneOnce(ids ...string) {
	for _, id := range ids {
		c.requirePhaseEverywhere(wire.Done, id)
	}
	finals := map[string]map[string]int{} // by job and controller
	events := c.historyEvents()
	for _, e := range events {
		if e.Kind == history.JobFinished {
			if finals[e.Job] == nil {
				finals[e.Job] = map[string]int{}
			}
			finals[e.Job][e.Controller]++
		}
	}
	for _, id := range ids {
		require.NotEmpty(c.t, finals[id], "no controller has recorded the end of %s", id)
		for h, n := range finals[id] {
			require.Equal(c.t, 1, n, "recorded ends of %s at %s", id, h)
		}
	}
	require.Empty(c.t, history.Check(events, 0))
}

// Guards against work that returns to a zone too early or in the wrong order. A zone is disconnected for longer than a worker
// lease while work continues in the other zone. After the reconnection nothing may start in the zone before its machines are
// accounted for. Then work returns in stages: urgent jobs, then services, then jobs that can wait. Every job must end once.
func TestZoneLossAndReturnAdmitsWorkInStages(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTwoZoneCluster(t, true)
				rng := fakes.Rand(seed)
				c.submitWithPriority("job-1", "high", 20)
				c.submitWithPriority("job-2", "normal", 20)
				c.runFor(time.Duration(2000+rng.IntN(3000))*time.Millisecond, 0)
				c.setZoneDisconnected(true)
				c.runFor(time.Duration(34+rng.IntN(12))*time.Second, 20*time.Second)
				require.Equal(t, zone.Lost, c.zoneState("a").State)
				// These jobs need more than the other zone has. The rest of their tasks waits for the return.
				c.submitWithPriority("job-3", "idle", 20)
				c.submitWithPriority("job-4", "normal", 40)
				c.submitWithPriority("job-5", "high", 30)
				c.runFor(4*time.Second, 30*time.Second)
				c.setZoneDisconnected(false)
				back := time.Now().UnixMilli()
				states := map[string]bool{}
				c.runForEach(30*time.Second, 30*time.Second, func() {
					r := c.zoneState("a")
					states[fmt.Sprint(r.State, " ", r.Stage)] = true
				})
				require.True(t, states["returning reconcile"] && states["returning urgent"], "%v", states)
				c.runFor(150*time.Second, 8*time.Second)
				require.Equal(t, zone.Healthy, c.zoneState("a").State)
				require.Empty(t, c.earlyStarts(back), "attempts started before the machines were accounted for")
				first := c.firstStarts(back)
				require.NotZero(t, first["job-5"], "urgent work has not returned: %v", first)
				for _, pair := range [][2]string{{"job-5", "job-4"}, {"job-4", "job-3"}} {
					if first[pair[0]] != 0 && first[pair[1]] != 0 {
						require.LessOrEqual(t, first[pair[0]], first[pair[1]], "%s must return before %s: %v", pair[0], pair[1], first)
					}
				}
				c.requireDoneOnce("job-1", "job-2", "job-3", "job-4", "job-5")
			})
		})
	}
}

// zoneReturnFault is a fault that occurs while a zone returns. The function cause adds the actions that end it to a timetable.
type zoneReturnFault struct {
	name  string
	cause func(c *cluster, later *timetable)
}

var zoneReturnFaults = []zoneReturnFault{
	{"the fleet's leader crashes", func(c *cluster, later *timetable) {
		leader := c.leaderships()[autoscaler.Duty].Leader
		c.crash(leader)
		later.after(2*time.Second, func() { c.start(leader) })
	}},
	{"the zone's controller crashes", func(c *cluster, later *timetable) {
		c.crash("c")
		later.after(2*time.Second, func() { c.start("c") })
	}},
	{"the key-value store is down", func(c *cluster, later *timetable) {
		c.store.SetDown(true)
		later.after(8*time.Second, func() { c.store.SetDown(false) })
	}},
	{"the zone is lost repeatedly", func(c *cluster, later *timetable) {
		for i := range 4 {
			later.after(time.Duration(5+10*i)*time.Second, func() { c.setZoneDisconnected(true) })
			later.after(time.Duration(10+10*i)*time.Second, func() { c.setZoneDisconnected(false) })
		}
	}},
	{"heartbeats arrive, answers don't", func(c *cluster, later *timetable) {
		for _, w := range c.workers {
			c.workersWithoutAnswers[w.ID] = w.Zone == "b"
		}
		later.after(10*time.Second, func() { clear(c.workersWithoutAnswers) })
	}},
	{"operators hold the return", func(c *cluster, later *timetable) {
		hold := func(held bool) {
			for _, h := range hosts {
				c.process(h).holdZone(peer.ZoneHoldRequest{Zone: "b", Held: held})
			}
		}
		hold(true)
		later.after(20*time.Second, func() { hold(false) })
	}},
}

// Guards against faults during a zone's return that make a task run on two machines, which runFor checks, or a job end twice
// or not at all.
func TestZoneReturnDuringFailuresKeepsRules(t *testing.T) {
	for _, fault := range zoneReturnFaults {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(fault.name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newTwoZoneCluster(t, true)
					rng := fakes.Rand(seed)
					c.submitWithPriority("job-1", "high", 16)
					c.submitWithPriority("job-2", "normal", 16)
					c.runFor(3*time.Second, 0)
					c.setZoneDisconnected(true)
					c.runFor(time.Duration(20+rng.IntN(25))*time.Second, 25*time.Second)
					c.submitWithPriority("job-3", "normal", 30)
					c.setZoneDisconnected(false)
					c.runFor(time.Duration(rng.IntN(12))*500*time.Millisecond, 25*time.Second)
					var later timetable
					fault.cause(c, &later)
					c.runForEach(60*time.Second, 25*time.Second, later.run)
					c.runFor(150*time.Second, 6*time.Second)
					for _, id := range []string{"job-1", "job-2", "job-3"} {
						c.requirePhaseEverywhere(wire.Done, id)
					}
					require.Empty(t, history.Check(c.historyEvents(), 0))
				})
			})
		}
	}
}

// Guards against zone states that have an effect although zone return is disabled. After a zone was lost and has returned, no
// zone state may be recorded, and partition leaders must not restrict which work they admit.
func TestZoneReturnDisabledWritesNoZoneStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTwoZoneCluster(t, false)
		c.submitWithPriority("job-1", "high", 20)
		c.setZoneDisconnected(true)
		c.runFor(40*time.Second, 20*time.Second)
		c.setZoneDisconnected(false)
		c.runFor(60*time.Second, 6*time.Second)
		require.Empty(t, c.process("a").ZoneRecords())
		require.Empty(t, c.process("a").partitions.AdmittedStages())
		c.requireDoneOnce("job-1")
	})
}

// Guards against a partition leader that ignores the stages of a zone's return, or still restricts work after the return has
// ended. Every partition leader must admit the stages that the zone states in its replica give.
func TestPartitionLeadersGateStagesByZoneState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTwoZoneCluster(t, true)
		admitted := map[string]map[recovery.Stage]bool{} // by controller
		c.setZoneDisconnected(true)
		c.runFor(45*time.Second, 0)
		c.setZoneDisconnected(false)
		for _, h := range hosts {
			admitted[h] = map[recovery.Stage]bool{}
		}
		c.runForEach(25*time.Second, 0, func() {
			for _, h := range hosts {
				if s, ok := c.process(h).partitions.AdmittedStages()["b"]; ok {
					admitted[h][s] = true
				}
			}
		})
		for _, h := range hosts {
			require.True(t, admitted[h][recovery.Reconcile] && admitted[h][recovery.Urgent], "%s: %v", h, admitted)
		}
		c.runFor(40*time.Second, 0)
		for _, h := range hosts {
			require.Empty(t, c.process(h).partitions.AdmittedStages())
		}
	})
}
