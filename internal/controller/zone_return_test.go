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

// newTwoZoneCluster makes a cluster with workers in zones a and b, controllers a and b in zone a and controller c in
// zone b. The machines of zone b report to c. zoneReturn is whether work returns to a zone in stages.
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

// setZoneDisconnected cuts zone b off, with its controller and its workers, or connects it again.
func (c *cluster) setZoneDisconnected(disconnected bool) {
	c.setStoreCut("c", disconnected)
	c.setDisconnected("c", disconnected)
	clear(c.pinnedTo)
	for _, w := range c.workers {
		if disconnected && w.Zone == "b" {
			c.pinnedTo[w.ID] = "c"
		}
	}
}

// timetable is what is to be done at times while a cluster runs.
type timetable []timedAction

// timedAction is done once its time has come; do is nil after that.
type timedAction struct {
	at time.Time
	do func()
}

// after adds what is to be done after a while.
func (t *timetable) after(d time.Duration, do func()) {
	*t = append(*t, timedAction{time.Now().Add(d), do})
}

// run does what is due.
func (t *timetable) run() {
	for i, x := range *t {
		if x.do != nil && !time.Now().Before(x.at) {
			(*t)[i].do = nil
			x.do()
		}
	}
}

// zoneState is zone b's state on record, as a controller's replica shows it.
func (c *cluster) zoneState(host string) zone.Record {
	return c.process(host).ZoneRecords()["b"].Record
}

// submitWithPriority submits a job of the team without a limit at a controller that is not cut off.
func (c *cluster) submitWithPriority(id, priority string, tasks int) {
	body := strings.Replace(unlimitedSubmission(id, tasks), `"rank":"normal"`, fmt.Sprintf(`"rank":%q`, priority), 1)
	require.Equal(c.t, 201, c.post("a", wire.PathJobs, body).Status)
}

// historyEvents gathers the history of all controllers.
func (c *cluster) historyEvents() (out []history.Event) {
	for _, h := range hosts {
		out = append(out, c.process(h).history.Page(0, 100_000).Events...)
	}
	return out
}

// firstStarts returns when the first task of each job was seen running in zone b after a moment.
func (c *cluster) firstStarts(afterMS int64) map[string]int64 {
	out := map[string]int64{}
	for _, e := range c.historyEvents() {
		if e.Kind == history.TaskRunning && e.Zone == "b" && e.AtMS >= afterMS && (out[e.Job] == 0 || e.AtMS < out[e.Job]) {
			out[e.Job] = e.AtMS
		}
	}
	return out
}

// earlyStarts lists the attempts that started in zone b between a moment and the stage that admits urgent work.
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

// requireDoneOnce asks every controller for every job, and holds that each gives the same final answer,
// that none has recorded a second one, and that some controller has recorded it. One that was cut off
// as a job ended need not have: it asks others then.
func (c *cluster) requireDoneOnce(ids ...string) {
	for _, id := range ids {
		for _, h := range hosts {
			require.Equal(c.t, wire.Done, c.jobPhase(h, id), "%s at %s", id, h)
		}
	}
	finals := map[string]map[string]int{} // by job and controller
	events := c.historyEvents()
	for _, e := range events {
		if e.Kind == history.JobOver {
			if finals[e.Job] == nil {
				finals[e.Job] = map[string]int{}
			}
			finals[e.Job][e.Controller]++
		}
	}
	for _, id := range ids {
		require.NotEmpty(c.t, finals[id], "%s has no final answer", id)
		for h, n := range finals[id] {
			require.Equal(c.t, 1, n, "final answers of %s at %s", id, h)
		}
	}
	require.Empty(c.t, history.Check(events, 0))
}

// A zone is cut off for longer than a worker lease and comes back. Work goes on in the other zone; when it
// is back, work returns in order: urgent, then services, then what can wait. Every job has one final answer.
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
				// More than the other zone can hold: the rest waits for the return.
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
				require.Empty(t, c.earlyStarts(back), "nothing starts before machines are accounted for")
				first := c.firstStarts(back)
				require.NotZero(t, first["job-5"], "urgent work has returned: %v", first)
				for _, x := range [][2]string{{"job-5", "job-4"}, {"job-4", "job-3"}} {
					if first[x[0]] != 0 && first[x[1]] != 0 {
						require.LessOrEqual(t, first[x[0]], first[x[1]], "%s before %s: %v", x[0], x[1], first)
					}
				}
				c.requireDoneOnce("job-1", "job-2", "job-3", "job-4", "job-5")
			})
		})
	}
}

// zoneReturnFault is what happens while a zone returns; what ends it later goes to the timetable.
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
	{"the zone is lost again and again", func(c *cluster, later *timetable) {
		for i := range 4 {
			later.after(time.Duration(5+10*i)*time.Second, func() { c.setZoneDisconnected(true) })
			later.after(time.Duration(10+10*i)*time.Second, func() { c.setZoneDisconnected(false) })
		}
	}},
	{"heartbeats arrive, answers don't", func(c *cluster, later *timetable) {
		for _, w := range c.workers {
			c.unanswered[w.ID] = w.Zone == "b"
		}
		later.after(10*time.Second, func() { clear(c.unanswered) })
	}},
	{"operators hold it", func(c *cluster, later *timetable) {
		hold := func(held bool) {
			for _, h := range hosts {
				c.process(h).holdZone(peer.ZoneHoldRequest{Zone: "b", Held: held})
			}
		}
		hold(true)
		later.after(20*time.Second, func() { hold(false) })
	}},
}

// Whatever happens during the return: no task is on two machines (runFor checks that), and every job has one final answer.
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
						for _, h := range hosts {
							require.Equal(t, wire.Done, c.jobPhase(h, id), "%s at %s", id, h)
						}
					}
					require.Empty(t, history.Check(c.historyEvents(), 0))
				})
			})
		}
	}
}

// Where zone return is off a zone's loss has no stages: no zone state is written, nothing is gated.
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

// Every partition leader's gate follows the stages of a return, as its replica shows them, and is open once the
// return has ended.
func TestPartitionLeadersGateStagesByZoneState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTwoZoneCluster(t, true)
		gated := map[string]map[recovery.Stage]bool{} // by controller
		c.setZoneDisconnected(true)
		c.runFor(45*time.Second, 0)
		c.setZoneDisconnected(false)
		for _, h := range hosts {
			gated[h] = map[recovery.Stage]bool{}
		}
		c.runForEach(25*time.Second, 0, func() {
			for _, h := range hosts {
				if s, ok := c.process(h).partitions.AdmittedStages()["b"]; ok {
					gated[h][s] = true
				}
			}
		})
		for _, h := range hosts {
			require.True(t, gated[h][recovery.Reconcile] && gated[h][recovery.Urgent], "%s: %v", h, gated)
		}
		c.runFor(40*time.Second, 0)
		for _, h := range hosts {
			require.Empty(t, c.process(h).partitions.AdmittedStages())
		}
	})
}
