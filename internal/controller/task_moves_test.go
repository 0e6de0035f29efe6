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

// checkpointingSubmission is a job whose tasks save and run for 200 s.
func checkpointingSubmission(id string, tasks int) string {
	return strings.NewReplacer(`"guess_s":5`, `"guess_s":200`, `"snap_every_s":0,"snap_s":0`, `"snap_every_s":10,"snap_s":1`).Replace(submission(id, tasks))
}

func (c *cluster) movedTasks() (n int) {
	for _, p := range c.processes {
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

// Whole controllers move tasks off machines that say that they are taken back; one of them
// ends or stands still while they do, or the state service is out. No task is on two machines
// (run checks that), the team stays within its limit, and what can run does.
func TestTaskMovesCompleteDuringControllerFailures(t *testing.T) {
	for name, trouble := range map[string]func(c *cluster, host string){
		"nothing else":              func(*cluster, string) {},
		"a controller ends":         func(c *cluster, host string) { c.crash(host); time.AfterFunc(2*time.Second, func() { c.start(host) }) },
		"a controller stands still": func(c *cluster, host string) { c.pause(host, 8*time.Second) },
		"a controller is cut off from its peers": func(c *cluster, host string) {
			c.setDisconnected(host, true)
			time.AfterFunc(6*time.Second, func() { c.setDisconnected(host, false) })
		},
		"the state service is out": func(c *cluster, _ string) {
			c.store.SetDown(true)
			time.AfterFunc(8*time.Second, func() { c.store.SetDown(false) })
		},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newClusterWithOptions(t, 8, clusterOptions{policyScript: "moves = True"})
					rng := fakes.Rand(seed)
					c.runFor(8*time.Second, 0)
					require.Equal(t, 201, c.post("a", wire.PathJobs, checkpointingSubmission("job-1", 3)).Status)
					c.runFor(38*time.Second, 0)
					require.Equal(t, 3, c.runningTasks())
					left := 50.0
					for _, w := range c.workers {
						for _, k := range w.InOrder() {
							if k.Phase != wire.TaskExited {
								w.NoticeS = &left
							}
						}
					}
					c.runFor(time.Duration(rng.IntN(3))*500*time.Millisecond, 0)
					trouble(c, hosts[rng.IntN(3)])
					c.runFor(45*time.Second, 0)
					require.Equal(t, 3, c.runningTasks())
					if name == "nothing else" {
						require.Equal(t, 3, c.movedTasks())
						for _, w := range c.workers {
							require.False(t, w.NoticeS != nil && len(w.Tasks) > 0, "%s is empty", w.ID)
						}
					}
					c.runFor(30*time.Second, time.Second)
					require.Equal(t, wire.Done, c.jobPhase("b", "job-1"))
				})
			})
		}
	}
}
