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

// twoZones is a cluster with controllers and workers in zones a and b; a third controller is in a.
// All machines of zone b are the controller c's.
func twoZones(t *testing.T, on bool) *cluster {
	script := "history = True\n"
	if on {
		script += "zone_return = True\n"
	}
	c := newClusterWith(t, 12, &cluster{reportS: 0.5, txnOps: 12, valueKB: 8, script: script,
		zones: map[string]string{"a": "a", "b": "a", "c": "b"}})
	for i, w := range c.workers {
		if i%2 == 1 {
			w.Zone = "b"
			c.at[w.ID] = "c"
		}
	}
	c.run(8*time.Second, 0)
	return c
}

// cutZone cuts zone b off, with its controller and its workers, or joins it again.
func (c *cluster) cutZone(cut bool) {
	c.up["c"].view.SetCut(cut)
	c.setCut("c", cut)
	clear(c.only)
	for _, w := range c.workers {
		if cut && w.Zone == "b" {
			c.only[w.ID] = "c"
		}
	}
}

// plan is what is to be done at times while a cluster runs.
type plan []planned

type planned struct {
	at time.Time
	do func()
}

func (p *plan) after(d time.Duration, do func()) { *p = append(*p, planned{time.Now().Add(d), do}) }

// run does what is due.
func (p *plan) run() {
	for i, x := range *p {
		if x.do != nil && !time.Now().Before(x.at) {
			(*p)[i].do = nil
			x.do()
		}
	}
}

// zoneState is the state on record.
func (c *cluster) zoneState(host string) zone.Record { return c.up[host].ZoneRecords()["b"].Record }

// submitRank submits a job of a rank at a controller that is not cut off. Its team has no limit.
func (c *cluster) submitRank(id, rank string, tasks int) {
	body := strings.NewReplacer(`"red"`, `"blue"`, `"rank":"normal"`, fmt.Sprintf(`"rank":%q`, rank)).Replace(submission(id, tasks))
	require.Equal(c.t, 201, c.do("a", "POST", wire.PathJobs, body).Status)
}

// events gathers the history of all controllers.
func (c *cluster) events() (out []history.Event) {
	for _, h := range hosts {
		out = append(out, c.up[h].history.Page(0, 100_000).Events...)
	}
	return out
}

// firstStarts gives when the first task of each job was seen running in zone b after a moment.
func (c *cluster) firstStarts(afterMS int64) map[string]int64 {
	out := map[string]int64{}
	for _, e := range c.events() {
		if e.Kind == history.TaskRunning && e.Zone == "b" && e.AtMS >= afterMS && (out[e.Job] == 0 || e.AtMS < out[e.Job]) {
			out[e.Job] = e.AtMS
		}
	}
	return out
}

// earlyStarts lists the attempts that began in zone b between a moment and the stage that admits urgent work.
func (c *cluster) earlyStarts(afterMS int64) (out []history.Event) {
	events := c.events()
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

// allDoneOnce asks every controller for every job, and holds that each gives the same final answer,
// that none has learnt a second one, and that somebody has learnt it. A controller that was cut off
// as a job ended need not have: it asks others then.
func (c *cluster) allDoneOnce(ids ...string) {
	for _, id := range ids {
		for _, h := range hosts {
			require.Equal(c.t, wire.Done, c.phase(h, id), "%s at %s", id, h)
		}
	}
	over := map[string]map[string]int{}
	events := c.events()
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
func TestAZoneDropsAndReturnsInOrder(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := twoZones(t, true)
				rng := fakes.Rand(seed)
				c.submitRank("job-1", "high", 20)
				c.submitRank("job-2", "normal", 20)
				c.run(time.Duration(2000+rng.IntN(3000))*time.Millisecond, 0)
				c.cutZone(true)
				c.run(time.Duration(34+rng.IntN(12))*time.Second, 20*time.Second)
				require.Equal(t, zone.Lost, c.zoneState("a").State)
				// More than the zone that is left can hold: the rest waits for the return.
				c.submitRank("job-3", "idle", 20)
				c.submitRank("job-4", "normal", 40)
				c.submitRank("job-5", "high", 30)
				c.run(4*time.Second, 30*time.Second)
				c.cutZone(false)
				back := time.Now().UnixMilli()
				states := map[string]bool{}
				c.runAnd(30*time.Second, 30*time.Second, func() {
					r := c.zoneState("a")
					states[fmt.Sprint(r.State, " ", r.Stage)] = true
				})
				require.True(t, states["returning reconcile"] && states["returning urgent"], "%v", states)
				c.run(150*time.Second, 8*time.Second)
				require.Equal(t, zone.Healthy, c.zoneState("a").State)
				require.Empty(t, c.earlyStarts(back), "nothing begins before machines are accounted for")
				first := c.firstStarts(back)
				require.NotZero(t, first["job-5"], "urgent work has returned: %v", first)
				for _, x := range [][2]string{{"job-5", "job-4"}, {"job-4", "job-3"}} {
					if first[x[0]] != 0 && first[x[1]] != 0 {
						require.LessOrEqual(t, first[x[0]], first[x[1]], "%s before %s: %v", x[0], x[1], first)
					}
				}
				c.allDoneOnce("job-1", "job-2", "job-3", "job-4", "job-5")
			})
		})
	}
}

// Whatever meets the return: no task is on two machines (run checks that), and every job has one final answer.
func TestWhatMeetsAReturn(t *testing.T) {
	for name, trouble := range map[string]func(c *cluster, later *plan){
		"the fleet's holder ends": func(c *cluster, later *plan) {
			h := c.claims()["fleet"].Leader
			c.crash(h)
			later.after(2*time.Second, func() { c.start(h) })
		},
		"the zone's controller ends": func(c *cluster, later *plan) {
			c.crash("c")
			later.after(2*time.Second, func() { c.start("c") })
		},
		"the state service is out": func(c *cluster, later *plan) {
			c.st.SetDown(true)
			later.after(8*time.Second, func() { c.st.SetDown(false) })
		},
		"the zone drops again, and again": func(c *cluster, later *plan) {
			for i := range 4 {
				later.after(time.Duration(5+10*i)*time.Second, func() { c.cutZone(true) })
				later.after(time.Duration(10+10*i)*time.Second, func() { c.cutZone(false) })
			}
		},
		"reports arrive, answers don't": func(c *cluster, later *plan) {
			for _, w := range c.workers {
				c.unheard[w.ID] = w.Zone == "b"
			}
			later.after(10*time.Second, func() { clear(c.unheard) })
		},
		"operators hold it": func(c *cluster, later *plan) {
			hold := func(held bool) {
				for _, h := range hosts {
					c.up[h].holdZone(holdOf(held))
				}
			}
			hold(true)
			later.after(20*time.Second, func() { hold(false) })
		},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := twoZones(t, true)
					rng := fakes.Rand(seed)
					c.submitRank("job-1", "high", 16)
					c.submitRank("job-2", "normal", 16)
					c.run(3*time.Second, 0)
					c.cutZone(true)
					c.run(time.Duration(20+rng.IntN(25))*time.Second, 25*time.Second)
					c.submitRank("job-3", "normal", 30)
					c.cutZone(false)
					c.run(time.Duration(rng.IntN(12))*500*time.Millisecond, 25*time.Second)
					var later plan
					trouble(c, &later)
					c.runAnd(60*time.Second, 25*time.Second, later.run)
					c.run(150*time.Second, 6*time.Second)
					for _, id := range []string{"job-1", "job-2", "job-3"} {
						for _, h := range hosts {
							require.Equal(t, wire.Done, c.phase(h, id), "%s at %s", id, h)
						}
					}
					require.Empty(t, history.Check(c.events(), 0))
				})
			})
		}
	}
}

// With the switch off a zone's drop is as it was: nothing is written, nothing is gated.
func TestZonesAreNotWatchedWhereThatIsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := twoZones(t, false)
		c.submitRank("job-1", "high", 20)
		c.cutZone(true)
		c.run(40*time.Second, 20*time.Second)
		c.cutZone(false)
		c.run(60*time.Second, 6*time.Second)
		require.Empty(t, c.up["a"].ZoneRecords())
		require.Empty(t, c.up["a"].owner.AdmittedStages())
		c.allDoneOnce("job-1")
	})
}

// An owner's gate: what a stage does not admit is refused, whatever a placer believes; and a record of
// a return that ends opens it.
func TestOwnersFollowTheRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := twoZones(t, true)
		gated := map[string]map[recovery.Stage]bool{}
		c.cutZone(true)
		c.run(45*time.Second, 0)
		c.cutZone(false)
		for _, h := range hosts {
			gated[h] = map[recovery.Stage]bool{}
		}
		c.runAnd(25*time.Second, 0, func() {
			for _, h := range hosts {
				if s, ok := c.up[h].owner.AdmittedStages()["b"]; ok {
					gated[h][s] = true
				}
			}
		})
		for _, h := range hosts {
			require.True(t, gated[h][recovery.Reconcile] && gated[h][recovery.Urgent], "%s: %v", h, gated)
		}
		c.run(40*time.Second, 0)
		for _, h := range hosts {
			require.Empty(t, c.up[h].owner.AdmittedStages())
		}
	})
}

func holdOf(held bool) peer.ZoneHoldRequest { return peer.ZoneHoldRequest{Zone: "b", Held: held} }
