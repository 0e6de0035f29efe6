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

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// newTwoZoneCluster is a cluster with controllers and workers in zones a and b; a third controller is in a.
// All machines of zone b are the controller c's.
func newTwoZoneCluster(t *testing.T, on bool) *cluster {
	script := "history = True\n"
	if on {
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

// setZoneDisconnected cuts zone b off, with its controller and its workers, or joins it again.
func (c *cluster) setZoneDisconnected(cut bool) {
	c.setStoreCut("c", cut)
	c.setDisconnected("c", cut)
	clear(c.pinnedTo)
	for _, w := range c.workers {
		if cut && w.Zone == "b" {
			c.pinnedTo[w.ID] = "c"
		}
	}
}

// timetable is what is to be done at times while a cluster runs.
type timetable []timedAction

type timedAction struct {
	at time.Time
	do func()
}

func (p *timetable) after(d time.Duration, do func()) {
	*p = append(*p, timedAction{time.Now().Add(d), do})
}

// run does what is due.
func (p *timetable) run() {
	for i, x := range *p {
		if x.do != nil && !time.Now().Before(x.at) {
			(*p)[i].do = nil
			x.do()
		}
	}
}

// zoneState is the state on record.
func (c *cluster) zoneState(host string) zone.Record {
	return c.processes[host].ZoneRecords()["b"].Record
}

// submitWithPriority submits a job of a rank at a controller that is not cut off. Its team has no limit.
func (c *cluster) submitWithPriority(id, rank string, tasks int) {
	body := strings.NewReplacer(`"red"`, `"blue"`, `"rank":"normal"`, fmt.Sprintf(`"rank":%q`, rank)).Replace(submission(id, tasks))
	require.Equal(c.t, 201, c.post("a", wire.PathJobs, body).Status)
}

// historyEvents gathers the history of all controllers.
func (c *cluster) historyEvents() (out []history.Event) {
	for _, h := range hosts {
		out = append(out, c.processes[h].history.Page(0, 100_000).Events...)
	}
	return out
}

// firstStarts gives when the first task of each job was seen running in zone b after a moment.
func (c *cluster) firstStarts(afterMS int64) map[string]int64 {
	out := map[string]int64{}
	for _, e := range c.historyEvents() {
		if e.Kind == history.TaskRunning && e.Zone == "b" && e.AtMS >= afterMS && (out[e.Job] == 0 || e.AtMS < out[e.Job]) {
			out[e.Job] = e.AtMS
		}
	}
	return out
}

// earlyStarts lists the attempts that began in zone b between a moment and the stage that admits urgent work.
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
// that none has learnt a second one, and that somebody has learnt it. A controller that was cut off
// as a job ended need not have: it asks others then.
func (c *cluster) requireDoneOnce(ids ...string) {
	for _, id := range ids {
		for _, h := range hosts {
			require.Equal(c.t, wire.Done, c.jobPhase(h, id), "%s at %s", id, h)
		}
	}
	over := map[string]map[string]int{}
	events := c.historyEvents()
	for _, e := range events {
		if e.Kind == history.JobOver {
			if over[e.Job] == nil {
				over[e.Job] = map[string]int{}
			}
			over[e.Job][e.Controller]++
		}
	}
	for _, id := range ids {
		require.NotEmpty(c.t, over[id], "%s has no final answer", id)
		for h, n := range over[id] {
			require.Equal(c.t, 1, n, "final answers of %s at %s", id, h)
		}
	}
	require.Empty(c.t, history.Check(events, 0))
}

// A zone is cut off for longer than a lease and comes back. Work goes on in the other zone; when it
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
				// More than the zone that is left can hold: the rest waits for the return.
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
				require.Empty(t, c.earlyStarts(back), "nothing begins before machines are accounted for")
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

// Whatever meets the return: no task is on two machines (run checks that), and every job has one final answer.
func TestZoneReturnDuringFailuresKeepsRules(t *testing.T) {
	for name, trouble := range map[string]func(c *cluster, later *timetable){
		"the fleet's holder ends": func(c *cluster, later *timetable) {
			h := c.leaderships()["fleet"].Leader
			c.crash(h)
			later.after(2*time.Second, func() { c.start(h) })
		},
		"the zone's controller ends": func(c *cluster, later *timetable) {
			c.crash("c")
			later.after(2*time.Second, func() { c.start("c") })
		},
		"the state service is out": func(c *cluster, later *timetable) {
			c.store.SetDown(true)
			later.after(8*time.Second, func() { c.store.SetDown(false) })
		},
		"the zone drops again, and again": func(c *cluster, later *timetable) {
			for i := range 4 {
				later.after(time.Duration(5+10*i)*time.Second, func() { c.setZoneDisconnected(true) })
				later.after(time.Duration(10+10*i)*time.Second, func() { c.setZoneDisconnected(false) })
			}
		},
		"reports arrive, answers don't": func(c *cluster, later *timetable) {
			for _, w := range c.workers {
				c.unanswered[w.ID] = w.Zone == "b"
			}
			later.after(10*time.Second, func() { clear(c.unanswered) })
		},
		"operators hold it": func(c *cluster, later *timetable) {
			hold := func(held bool) {
				for _, h := range hosts {
					c.processes[h].holdZone(zoneHoldRequest(held))
				}
			}
			hold(true)
			later.after(20*time.Second, func() { hold(false) })
		},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
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
					trouble(c, &later)
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

// With the switch off a zone's drop is as it was: nothing is written, nothing is gated.
func TestZoneReturnDisabledWritesNoZoneStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTwoZoneCluster(t, false)
		c.submitWithPriority("job-1", "high", 20)
		c.setZoneDisconnected(true)
		c.runFor(40*time.Second, 20*time.Second)
		c.setZoneDisconnected(false)
		c.runFor(60*time.Second, 6*time.Second)
		require.Empty(t, c.processes["a"].ZoneRecords())
		require.Empty(t, c.processes["a"].partitions.AdmittedStages())
		c.requireDoneOnce("job-1")
	})
}

// An owner's gate: what a stage does not admit is refused, whatever a placer believes; and a record of
// a return that ends opens it.
func TestPartitionLeadersGateStagesByZoneState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTwoZoneCluster(t, true)
		gated := map[string]map[recovery.Stage]bool{}
		c.setZoneDisconnected(true)
		c.runFor(45*time.Second, 0)
		c.setZoneDisconnected(false)
		for _, h := range hosts {
			gated[h] = map[recovery.Stage]bool{}
		}
		c.runForEach(25*time.Second, 0, func() {
			for _, h := range hosts {
				if s, ok := c.processes[h].partitions.AdmittedStages()["b"]; ok {
					gated[h][s] = true
				}
			}
		})
		for _, h := range hosts {
			require.True(t, gated[h][recovery.Reconcile] && gated[h][recovery.Urgent], "%s: %v", h, gated)
		}
		c.runFor(40*time.Second, 0)
		for _, h := range hosts {
			require.Empty(t, c.processes[h].partitions.AdmittedStages())
		}
	})
}

func zoneHoldRequest(held bool) peer.ZoneHoldRequest {
	return peer.ZoneHoldRequest{Zone: "b", Held: held}
}
