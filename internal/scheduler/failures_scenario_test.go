package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// startLimit is within how long of its submission a job has to begin.
const startLimit = 240 * sec

// rentedFleet is a simulation whose machines are rented and returned as autoscaler.Plan decides.
type rentedFleet struct {
	*simulation
	parameters autoscaler.Parameters
	bootTime   clock.Micros
	runTime    clock.Micros
	isFaulty   func(number int) bool // by the machines' numbers in the order of their rental, from 1
	instances  map[string]autoscaler.Instance
	numbers    map[string]int          // by machine
	runningAt  map[string]clock.Micros // by task and attempt: when it was first seen
	rentals    int
	largest    int // largest number of instances at a time
}

func newRentedFleet(t *testing.T, economy bool, isFaulty func(number int) bool) *rentedFleet {
	idle := 240 * sec
	if economy {
		idle = 8 * sec
	}
	f := &rentedFleet{
		simulation: newSimulationWithLimit(t, 1, 0, 0),
		parameters: autoscaler.Parameters{Economy: economy, IdleScaleInDelay: idle, BootPatience: 3,
			CatchupSpot: 60 * sec, CatchupOnDemand: 90 * sec},
		bootTime:  2 * sec,
		runTime:   15 * sec,
		isFaulty:  isFaulty,
		instances: map[string]autoscaler.Instance{},
		numbers:   map[string]int{},
		runningAt: map[string]clock.Micros{},
	}
	f.scheduler.parameters.Economy = economy
	return f
}

// run lets time pass until the condition holds, and returns whether it does.
func (f *rentedFleet) run(d clock.Micros, until func() bool) bool {
	f.t.Helper()
	for end := f.now + d; f.now < end; {
		f.runSteps(1)
		f.advanceTasks()
		f.bootMachines()
		f.scale()
		if until() {
			return true
		}
	}
	return false
}

// advanceTasks ends tasks: on faulty machines with an error in the first step after their start, on others when they are done.
func (f *rentedFleet) advanceTasks() {
	for _, id := range f.machineIDs {
		for _, task := range f.workers[id].SortedTasks() {
			attempt := fmt.Sprint(task.Task, task.Attempt)
			began, seen := f.runningAt[attempt]
			switch {
			case task.Phase == wire.TaskExited:
			case !seen:
				f.runningAt[attempt] = f.now
			case f.isFaulty(f.numbers[id]):
				task.Phase, task.Cause = wire.TaskExited, wire.CauseError
			case f.now >= began+f.runTime:
				task.Phase, task.Cause = wire.TaskExited, wire.CauseDone
			}
		}
	}
}

// bootMachines starts the workers of instances whose boot time is over.
func (f *rentedFleet) bootMachines() {
	for id, instance := range f.instances {
		if f.workers[id] != nil || f.now < instance.RequestedAt+f.bootTime {
			continue
		}
		instance.Phase = wire.MachineRunning
		f.instances[id] = instance
		f.workers[id] = fakes.NewWorker(id, lease, f.now)
		f.workers[id].Zone, f.workers[id].Spot = instance.Zone, instance.Spot
		f.machineIDs = append(f.machineIDs, id)
		slices.Sort(f.machineIDs)
	}
}

// scale carries out a plan of the autoscaler.
func (f *rentedFleet) scale() {
	views := f.scheduler.MachineViews(nil, f.now)
	for i := range views {
		if instance, rented := f.instances[views[i].ID]; rented {
			instance.HeartbeatSeen = true
			f.instances[views[i].ID] = instance
		}
	}
	big := wire.MachineType{Name: "big", CPUs: 8, MemGB: 32, Price: 3, SpotPrice: 1, BootS: f.bootTime.Seconds(), Zones: []string{"a", "b"}}
	scaleOut, scaleIn := autoscaler.Plan(autoscaler.Input{
		Now:        f.now,
		Types:      []wire.MachineType{big},
		Instances:  f.instances,
		Views:      views,
		Demands:    f.scheduler.Demands(f.now),
		Parameters: f.parameters,
		MaxPerKind: 20,
	})
	for _, request := range scaleOut {
		for range request.Count {
			f.rentals++
			id := fmt.Sprintf("m-%d", f.rentals)
			f.numbers[id] = f.rentals
			f.instances[id] = autoscaler.Instance{
				InstanceKind: request.InstanceKind, ID: id, Phase: wire.MachineBooting, RequestedAt: f.now,
			}
		}
	}
	f.largest = max(f.largest, len(f.instances))
	for _, machine := range scaleIn {
		f.returnMachine(peer.MachineRef{ID: machine.ID, Zone: machine.Zone})
	}
}

// returnMachine returns a machine if its partition leader drains it.
func (f *rentedFleet) returnMachine(machine peer.MachineRef) {
	list := []peer.MachineRef{machine}
	partitionOf := func(id, _ string) int { return f.partitionOf(id) }
	state := f.stateOf(machine.ID)
	if len(state.Drain(list, partitionOf, f.now)) == 0 {
		return
	}
	state.HandleMachinesGone(list, partitionOf, f.now)
	delete(f.instances, machine.ID)
	delete(f.workers, machine.ID)
	f.machineIDs = slices.DeleteFunc(f.machineIDs, func(id string) bool { return id == machine.ID })
}

// smallTasks makes 16 tasks of a job fit on a machine.
func smallTasks(j *wire.Job) { j.CPUs, j.RuntimeEstimateS = 0.5, 15 }

// A job whose first machines fail all its tasks must run on a sound one in the end (review case 5): a faulty machine fails many
// tasks in a moment, and the job must not be left out of the demand for machines for that.
func TestJobRunsAfterFaultyMachines(t *testing.T) {
	for _, economy := range []bool{true, false} {
		for _, tasks := range []int{1, 5, 16, 100} {
			for faulty := range 6 {
				t.Run(fmt.Sprintf("economy %v, %d tasks, %d faulty machines", economy, tasks, faulty), func(t *testing.T) {
					fleet := newRentedFleet(t, economy, func(number int) bool { return number <= faulty })
					fleet.addJob("job-1", tasks, smallTasks)
					require.True(t, fleet.run(startLimit, func() bool { return fleet.ended["job-1"] }),
						"%d machines were rented, %d are there", fleet.rentals, len(fleet.instances))
				})
			}
		}
	}
}

// Machines that have completed tasks of a job become faulty, after others have failed it from the start: the job still runs.
func TestJobRunsAfterSoundMachinesBecomeFaulty(t *testing.T) {
	for _, tasks := range []int{30, 100} {
		var fleet *rentedFleet
		var faultyFrom clock.Micros
		isFaulty := func(number int) bool {
			return number <= 3 || number <= 5 && fleet.now >= faultyFrom
		}
		fleet = newRentedFleet(t, true, isFaulty)
		faultyFrom = fleet.now + 50*sec
		fleet.addJob("job-1", tasks, smallTasks)
		require.True(t, fleet.run(startLimit, func() bool { return fleet.ended["job-1"] }),
			"%d tasks: %d machines were rented, %d are there", tasks, fleet.rentals, len(fleet.instances))
	}
}

// The tasks of a job run for long, so that for minutes none can complete and show that the job is sound. Once some have run for longer than
// those that failed, the job gets all machines that it needs at once, not one after the other has booted.
func TestSuspectJobWithLongTasksGetsMachines(t *testing.T) {
	const tasks = 100
	for _, economy := range []bool{true, false} {
		fleet := newRentedFleet(t, economy, func(number int) bool { return number <= 7 })
		fleet.bootTime, fleet.runTime = 30*sec, 600*sec
		fleet.addJob("job-1", tasks, func(j *wire.Job) { smallTasks(j); j.RuntimeEstimateS = 600 })
		require.True(t, fleet.run(startLimit, func() bool { return fleet.runningTasks() == tasks }),
			"economy %v: %d tasks run, %d machines were rented", economy, fleet.runningTasks(), fleet.rentals)
	}
}

// A completed task stays listed until its end is recorded, and a full view lists it once more. That is no new evidence: a job that fails
// everywhere since must stay suspect.
func TestCompletionListedAgainDoesNotEndSuspicion(t *testing.T) {
	sim := newSimulation(t, 4)
	sim.runSteps(8)
	sim.addJob("job-1", 2, nil)
	sim.runSteps(4)
	for _, id := range sim.machineIDs {
		sim.workers[id].Finish("job-1/0", wire.CauseDone)
	}
	for range 400 {
		sim.runSteps(1)
		sim.exitAll(wire.CauseError)
	}
	failures := &sim.scheduler.teams[red].jobs["job-1"].failures
	require.True(t, failures.isSuspect())
	for _, session := range sim.scheduler.sessions {
		session.processID = "" // the next poll asks for everything
		session.cursor = 0
	}
	sim.runSteps(2)
	require.True(t, failures.isSuspect())
}

// Several jobs meet the same faulty machines before and after a failover of their scheduler: all of them run.
func TestJobsRunAfterFaultyMachinesAndFailover(t *testing.T) {
	fleet := newRentedFleet(t, true, func(number int) bool { return number%2 == 1 || number <= 6 })
	for i := range 4 {
		fleet.addJob(fmt.Sprintf("job-%d", i), 8+i*10, smallTasks)
	}
	fleet.run(12*sec, func() bool { return false })
	fleet.newScheduler()
	fleet.scheduler.parameters.Economy = true
	require.True(t, fleet.run(startLimit, func() bool { return len(fleet.ended) == 4 }), "%d jobs have ended", len(fleet.ended))
}

// A job that was submitted with a mistake fails on every machine. It must not make the fleet grow: after the first machines have
// failed, there is one at a time for it, and ever more rarely.
func TestJobWithMistakeDoesNotGrowFleet(t *testing.T) {
	const maxProbesPerInterval = 1
	for _, economy := range []bool{true, false} {
		for tasks, machines := range map[int]int{1: 1, 16: 1, 100: 7} {
			t.Run(fmt.Sprintf("economy %v, %d tasks", economy, tasks), func(t *testing.T) {
				fleet := newRentedFleet(t, economy, func(int) bool { return true })
				fleet.addJob("job-1", tasks, smallTasks)
				never := func() bool { return false }
				fleet.run(startLimit, never)
				require.LessOrEqual(t, fleet.largest, machines+suspectFailures-1)
				require.Equal(t, 1, fleet.scheduler.Summary().SuspectJobs)
				fleet.run(3*maxProbeInterval, never)
				before := fleet.rentals
				fleet.run(4*maxProbeInterval, never)
				require.LessOrEqual(t, fleet.rentals-before, 4*maxProbesPerInterval)
				require.LessOrEqual(t, len(fleet.instances), machines)
			})
		}
	}
}
