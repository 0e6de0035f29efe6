package controller

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

// checkpointingSubmission returns the body of a submission like submission, but of a job whose tasks write checkpoints and are
// estimated to run for 200 s.
func checkpointingSubmission(id string, tasks int) string {
	return strings.NewReplacer(`"guess_s":5`, `"guess_s":200`, `"snap_every_s":0,"snap_s":0`, `"snap_every_s":10,"snap_s":1`).
		Replace(submission(id, tasks))
}

// movedTasks counts the latest moves of the present team leaders by which a task was moved to another machine.
func (c *cluster) movedTasks() (n int) {
	for _, h := range hosts {
		p := c.process(h)
		if p == nil {
			continue
		}
		for _, s := range p.scheduler.TeamStatuses() {
			for _, m := range s.Moves {
				if m.Outcome == "moved" {
					n++
				}
			}
		}
	}
	return n
}

// giveEvictionNotices makes every machine with running tasks report that the cloud evicts it in a number of seconds.
func (c *cluster) giveEvictionNotices(seconds float64) {
	for _, w := range c.workers {
		for _, task := range w.SortedTasks() {
			if task.Phase != wire.TaskExited {
				w.NoticeS = &seconds
			}
		}
	}
}

// moveFault is a fault that occurs while tasks are moved; cause gets the host at which it occurs.
type moveFault struct {
	name  string
	cause func(c *cluster, host string)
}

var noMoveFault = moveFault{"no fault", func(*cluster, string) {}}

var moveFaults = []moveFault{
	noMoveFault,
	{"a controller crashes", func(c *cluster, host string) {
		c.crash(host)
		time.AfterFunc(2*time.Second, func() { c.start(host) })
	}},
	{"a controller pauses", func(c *cluster, host string) { c.pause(host, 8*time.Second) }},
	{"a controller is cut off from its peers", func(c *cluster, host string) {
		c.setDisconnected(host, true)
		time.AfterFunc(6*time.Second, func() { c.setDisconnected(host, false) })
	}},
	{"the key-value store is down", func(c *cluster, _ string) {
		c.store.SetDown(true)
		time.AfterFunc(8*time.Second, func() { c.store.SetDown(false) })
	}},
}

// Guards against moves that are left half done, or run a task twice, when a controller fails. The controllers move tasks off
// machines with an eviction notice while one controller crashes, pauses or is disconnected, or the key-value store is down.
// No task may be on two machines and the team must stay within its limit, both of which runFor checks, and all tasks must
// run and complete.
func TestTaskMovesCompleteDuringControllerFailures(t *testing.T) {
	for _, fault := range moveFaults {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(fault.name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newClusterWithOptions(t, 8, clusterOptions{policyScript: "moves = True"})
					rng := fakes.Rand(seed)
					c.runFor(8*time.Second, 0)
					require.Equal(t, 201, c.post("a", wire.PathJobs, checkpointingSubmission("job-1", 3)).Status)
					c.runFor(38*time.Second, 0)
					require.Equal(t, 3, c.runningTasks())
					c.giveEvictionNotices(50)
					c.runFor(time.Duration(rng.IntN(3))*500*time.Millisecond, 0)
					fault.cause(c, hosts[rng.IntN(3)])
					c.runFor(45*time.Second, 0)
					require.Equal(t, 3, c.runningTasks())
					if fault.name == noMoveFault.name {
						require.Equal(t, 3, c.movedTasks())
						for _, w := range c.workers {
							require.False(t, w.NoticeS != nil && len(w.Tasks) > 0, "%s has an eviction notice and still has tasks", w.ID)
						}
					}
					c.runFor(30*time.Second, time.Second)
					require.Equal(t, wire.Done, c.jobPhase("b", "job-1"))
				})
			})
		}
	}
}
