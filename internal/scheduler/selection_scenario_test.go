package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A job that fails everywhere backs off by itself.
func TestFailingJobBacksOff(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	sim.runSteps(8)
	sim.addJob("job-1", 4, nil)
	starts := 0
	for range 40 {
		sim.runSteps(1)
		starts += sim.exitAll(wire.CauseError)
	}
	require.Positive(t, starts)
	require.Less(t, starts, 40, "ten seconds of failures")
	require.NotZero(t, sim.scheduler.teams[red].jobs["job-1"].backoffUntil)
}

// High rank takes the least work from lower rank; late work takes nothing.
func TestPreemptionTakesFromLowerPriorities(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.runSteps(8)
	sim.addJob("job-1", 4, nil)
	sim.runSteps(4)
	require.Equal(t, 4, sim.runningTasks())
	due := 0.5
	sim.addJob("job-2", 1, func(j *wire.Job) { j.Priority, j.DeadlineS, j.RuntimeEstimateS = "high", &due, 60 })
	sim.runSteps(12)
	require.False(t, sim.workers["m-0"].Running("job-2/0"), "it is late already")
	sim.addJob("job-3", 1, func(j *wire.Job) { j.Priority = "high" })
	sim.runSteps(12)
	require.True(t, sim.workers["m-0"].Running("job-3/0"))
	require.Equal(t, 4, sim.runningTasks())
}

// A job that has missed its deadline, but not yet by the longer measure that an
// objective sets, goes before one that has missed both, and after one in time.
func TestQueueOrderFollowsLateness(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.scheduler.timing.Times = map[string]float64{"sweep": 1.5}
	for i, due := range []float64{10, 70, 200} { // hopeless, overdue, in time
		sim.addJob(fmt.Sprintf("job-%d", i), 1, func(j *wire.Job) { j.Class, j.DeadlineS, j.RuntimeEstimateS = "sweep", &due, 10 })
	}
	sim.now += 80 * sec
	var ids []string
	for _, j := range sim.scheduler.schedulingOrder(sim.now) {
		ids = append(ids, j.ID)
	}
	require.Equal(t, []string{"job-2", "job-1", "job-0"}, ids)
}

// The smaller rest goes first, of equal ones the earlier deadline.
func TestQueueOrderPutsSmallestRestsFirst(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	for i, due := range []float64{900, 1000, 800} {
		sim.addJob(fmt.Sprintf("job-%d", i), []int{20, 2, 20}[i], func(j *wire.Job) { j.DeadlineS, j.RuntimeEstimateS = &due, 10 })
	}
	var ids []string
	for _, j := range sim.scheduler.schedulingOrder(sim.now) {
		ids = append(ids, j.ID)
	}
	require.Equal(t, []string{"job-1", "job-2", "job-0"}, ids)
}

// Guaranteed work of low rank that is placed bit by bit takes nothing from work
// of higher rank; only when nothing of it finds room for most of the
// guarantee's time it does.
func TestGuaranteedJobPreemptsHigherPriorityOnlyWhenNothingFits(t *testing.T) {
	for _, trickle := range []bool{true, false} {
		sim := newSimulationWithLimit(t, 1, 2, 0)
		sim.scheduler.timing.Guarantee = 5 * sec
		blue := &team{Team: Team{Name: "blue", Guarantee: resources.Capacity(100, 0, 0)}, term: 1, jobs: map[string]*job{},
			accounted: map[string]bool{}, unaccounted: map[string]bool{}}
		j := &job{Job: jobs.New(jobs.Record{Job: wire.Job{ID: "job-9", Team: "blue", Priority: "normal", Tasks: 50, CPUs: 2, MemGB: 1, Spot: true}}, 1),
			team: blue, withinGuarantee: true, watermark: 50, acceptedAt: sim.now, assignments: map[int]*assignment{}, tasksByZone: map[string]int{}, done: make([]uint64, 1)}
		sim.runSteps(8)
		sim.addJob("job-1", 8, func(j *wire.Job) { j.Priority = "high" })
		sim.runSteps(4)
		require.Equal(t, 8, sim.runningTasks())
		taken := false
		for step := range 40 {
			sim.now += 250 * clock.Millisecond
			sim.scheduler.exhausted = exhaustedDemand{}
			if trickle && step%4 == 0 {
				m := sim.scheduler.machines["m-0"]
				m.available = j.Need // a task of others has ended
				sim.scheduler.reindex(m)
			}
			sim.scheduler.scheduleJob(j, 1, sim.now)
			for _, o := range sim.scheduler.sessions {
				for _, a := range o.pending.Asks {
					taken = taken || a.Over
				}
				o.pending = peer.Batch{}
			}
		}
		require.Equal(t, !trickle, taken)
	}
}

// Two jobs with an image each come to machines that have neither: each machine
// fetches one image, and the tasks of a job stay together.
func TestImagesAreFetchedOnSeparateMachines(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	sim.scheduler.SetFetchRates(map[string]float64{"big": 0.25})
	sim.scheduler.timing.Waits = map[string]clock.Micros{"rescore": 4 * sec}
	for i := range 2 {
		sim.addJob(fmt.Sprintf("job-%d", i), 3, func(j *wire.Job) { j.Class, j.Image, j.ImageGB = "rescore", fmt.Sprintf("img-%d", i), 2 })
	}
	sim.addJob("job-9", 1, func(j *wire.Job) { j.CPUs, j.Zone = 8, "nowhere" }) // something large is about
	sim.schedule()
	images := map[string]map[string]bool{}
	for id, m := range sim.scheduler.machines {
		for _, b := range m.assignments {
			if images[id] == nil {
				images[id] = map[string]bool{}
			}
			images[id][b.job.Image] = true
		}
	}
	require.Len(t, images, 2)
	for _, i := range images {
		require.Len(t, i, 1)
	}
}

// Where economy is in order, a job leaves the last bit of room that lacks its
// image to others for as long as a fetch would take; then it takes it.
func TestEconomyWaitsForImage(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 10, 0)
	sim.scheduler.timing.Economy = true
	sim.scheduler.SetFetchRates(map[string]float64{"big": 0.5})
	sim.runSteps(8)
	image := func(j *wire.Job) { j.Image, j.ImageGB = "img-1", 2 }
	sim.addJob("job-1", 1, func(j *wire.Job) { image(j); j.CPUs = 8 }) // one machine has the image, and is full
	sim.runSteps(4)
	sim.addJob("job-2", 35, nil) // the others have room for one task
	sim.runSteps(4)
	require.Equal(t, 36, sim.runningTasks())
	sim.addJob("job-3", 1, image)
	began := sim.now
	for len(sim.scheduler.teams[red].jobs["job-3"].assignments) == 0 && sim.now < began+20*sec {
		sim.runSteps(1)
	}
	require.InDelta(t, 4, (sim.now - began).Seconds(), 0.6)
}

// Jobs that could not be in time if a machine were taken from them keep to those
// that are not taken; the others leave those to them.
func TestUrgentJobsKeepToOnDemandMachines(t *testing.T) {
	for _, economy := range []bool{false, true} {
		sim := newSimulationWithLimit(t, 1, 4, 0)
		sim.scheduler.timing.Economy, sim.scheduler.timing.Lease = economy, 20*sec
		sim.scheduler.timing.Finishes = map[string]clock.Micros{"refit": 30 * sec}
		sim.workers["m-0"].Spot, sim.workers["m-3"].Spot = true, true
		sim.runSteps(8)
		due := 500.0
		sim.addJob("job-1", 1, func(j *wire.Job) { j.CPUs, j.RuntimeEstimateS, j.DeadlineS = 8, 10, &due })
		sim.addJob("job-2", 4, func(j *wire.Job) { j.Class, j.RuntimeEstimateS, j.CPUs = "refit", 10, 1 })
		sim.runSteps(4)
		for _, id := range sim.machineIDs {
			for _, r := range sim.workers[id].Tasks {
				job, _, _ := wire.SplitTask(r.Task)
				require.Equal(t, job == "job-1", sim.workers[id].Spot, "%s on %s", r.Task, id)
			}
		}
		require.Equal(t, 5, sim.runningTasks())
	}
}

// Urgent work takes all room there is, for as long as it likes; a large job of
// low rank begins all the same.
func TestLowPriorityJobStartsWithinBoundedTime(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 2, 0)
	sim.runSteps(8)
	sim.addJob("job-1", 500, func(j *wire.Job) { j.Priority = "high" })
	sim.runSteps(4)
	sim.addJob("job-2", 100, nil)
	begun := func() bool { return sim.scheduler.teams[red].jobs["job-2"].hasStarted() }
	for range 4 * 160 {
		if begun() {
			break
		}
		sim.runSteps(1)
		for _, id := range sim.machineIDs { // a task ends now and then
			for _, r := range sim.workers[id].InOrder() {
				if r.Phase != wire.TaskExited && sim.rng.IntN(80) == 0 {
					r.Phase, r.Cause = wire.TaskExited, wire.CauseDone
				}
			}
		}
	}
	require.True(t, begun())
	require.Less(t, sim.now-sim.scheduler.teams[red].jobs["job-2"].acceptedAt, 240*sec)
}

// Room for a large job of high rank comes up bit by bit. It does not wait for
// that: it takes room from lower rank as soon as it has waited its time.
func TestPreemptionIsNotDelayedByTrickleOfCapacity(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.runSteps(8)
	sim.addJob("job-1", 16, nil)
	sim.runSteps(4)
	require.Equal(t, 16, sim.runningTasks())
	sim.addJob("job-2", 12, func(j *wire.Job) { j.Priority = "high" })
	for step := range 8 {
		for _, r := range sim.workers[sim.machineIDs[step%4]].InOrder() { // a task ends in every round
			if r.Phase != wire.TaskExited {
				r.Phase, r.Cause = wire.TaskExited, wire.CauseDone
				break
			}
		}
		sim.runSteps(1)
	}
	high := 0
	for _, k := range sim.workers {
		for _, r := range k.Tasks {
			if job, _, _ := wire.SplitTask(r.Task); job == "job-2" {
				high++
			}
		}
	}
	require.Equal(t, 12, high)
}

// Tasks take twice as long on one machine as on others: it is set aside. Where
// run times only vary, none is.
func TestSlowMachineIsQuarantined(t *testing.T) {
	for _, slow := range []bool{true, false} {
		sim := newSimulationWithLimit(t, 1, 2, 0)
		sim.runSteps(8)
		for i := range 6 {
			sim.addJob(fmt.Sprintf("job-%d", i), 12, nil)
		}
		began := map[string]int{}
		for step := range 200 {
			sim.runSteps(1)
			for _, id := range sim.machineIDs {
				for _, k := range sim.workers[id].InOrder() {
					if _, ok := began[k.Task]; !ok {
						began[k.Task] = step
					}
					lasts := 7 + step%4
					if slow && id == "m-1" {
						lasts = 18
					}
					if k.Phase != wire.TaskExited && step-began[k.Task] >= lasts {
						k.Phase, k.Cause = wire.TaskExited, wire.CauseDone
					}
				}
			}
		}
		require.Equal(t, slow, sim.scheduler.machines["m-1"].Sick)
		require.False(t, sim.scheduler.machines["m-0"].Sick)
	}
}

// What a round of decisions and a poll cost does not grow with machines that are
// not touched: neither those with room nor those without.
func TestCycleCostDoesNotGrowWithFleet(t *testing.T) {
	work := func(machines int) (looked, told int) {
		sim := newSimulationWithLimit(t, 9, machines, 0)
		sim.runSteps(8)
		sim.addJob("job-1", 6, nil)
		before := sim.scheduler.counters.Looked
		sim.schedule()
		looked = sim.scheduler.counters.Looked - before
		require.Len(t, sim.scheduler.teams[red].jobs["job-1"].assignments, 6)
		for _, h := range sim.controllers {
			sim.sendBatch(h, true, true)
			in := sim.scheduler.NextPoll(h.name)
			ans := h.partitionState.HandlePoll(in, h.instance, sim.now)
			told += len(ans.Machines)
			sim.scheduler.HandlePollResponse(h.name, in, &ans, sim.now)
		}
		// A job for which no machine is large enough searches none of them.
		sim.addJob("job-2", 1, func(j *wire.Job) { j.CPUs = 64 })
		before = sim.scheduler.counters.Looked
		sim.schedule()
		require.Equal(t, before, sim.scheduler.counters.Looked)
		return looked, told
	}
	smallLooked, smallTold := work(60)
	largeLooked, largeTold := work(1800)
	require.LessOrEqual(t, largeLooked, smallLooked+12, "machines looked at")
	require.LessOrEqual(t, largeTold, 6, "machines told of")
	require.LessOrEqual(t, smallTold, 6)
}
