package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/rebalance"
	"github.com/merlinlatch/merlinlatch/wire"
)

var testMoves = &MoveSettings{Limits: rebalance.Limits{Margin: 1.5, CoolDown: 60 * sec, PerTeam: 20, PerMachine: 20, Detect: lease}}

// longJob gives a job checkpoints and a run time estimate of 200 s.
func longJob(j *wire.Job) {
	j.CheckpointIntervalS, j.CheckpointDurationS, j.RuntimeEstimateS = 10, 1, 200
}

// simulationWithNotice returns a simulation with one task, which has run for a while on a machine that now has an eviction notice.
func simulationWithNotice(t *testing.T) (sim *simulation, from string) {
	t.Helper()
	sim = newSimulationWithLimit(t, 1, 4, limitCPU)
	sim.moves = testMoves
	sim.newScheduler()
	sim.runSteps(8)
	sim.addJob("job-1", 1, longJob)
	sim.runSteps(160)
	from = sim.machineRunning("job-1/0")
	sim.sendEvictionNotice(from)
	return sim, from
}

// sendEvictionNotice makes a machine report from now on that the cloud takes it away in a minute.
func (s *simulation) sendEvictionNotice(id string) {
	left := 60.0
	s.workers[id].NoticeS = &left
}

// runUntil runs the cluster until reached returns true, and stops immediately then. It fails after 10 s of simulated time.
func (s *simulation) runUntil(step string, reached func() bool) {
	s.t.Helper()
	for range 200 {
		if reached() {
			return
		}
		s.now += 50 * clock.Millisecond
		for _, id := range s.machineIDs {
			s.heartbeat(id, true)
			if reached() {
				return
			}
		}
		for _, c := range s.controllers {
			s.poll(c, false)
			if reached() {
				return
			}
			s.schedule()
			if reached() {
				return
			}
			s.sendBatch(c, true, true)
			if reached() {
				return
			}
		}
		s.checkInvariants(step)
	}
	require.Fail(s.t, "step was not reached", step)
}

// lastMoveOutcome returns the outcome of the latest move, which is UnderWay while it is in progress, or the empty string if there
// was no move.
func (s *simulation) lastMoveOutcome() rebalance.Outcome {
	recent := s.scheduler.moves.planner.Recent(red)
	if len(recent) == 0 {
		return ""
	}
	return recent[0].Outcome
}

// movesInFlight returns how many moves are in progress.
func (s *simulation) movesInFlight() int { return len(s.scheduler.moves.bySource) }

// Guards against a task that is lost with a machine although an eviction notice gave enough time to move it. The machine of a
// running task gets a notice: the task must run once on another machine, and no assignment may be left at the first.
func TestTaskMovesOffMachineWithEvictionNotice(t *testing.T) {
	sim, from := simulationWithNotice(t)
	sim.runSteps(12)
	destination := sim.machineRunning("job-1/0")
	require.NotEqual(t, from, destination)
	require.Equal(t, rebalance.Moved, sim.lastMoveOutcome())
	require.Equal(t, 1, sim.scheduler.counters.MovesCompleted)
	require.Zero(t, sim.movesInFlight())
	require.Empty(t, sim.scheduler.moves.byDestination)
	require.Equal(t, 1, sim.workers[destination].Starts["job-1/0"])
	require.EqualValues(t, 2_000_000, sim.scheduler.teams[red].used.CPU, "only the moved task counts against the limit")
}

// moveSteps are the steps of a move at which a failure is applied, each with a condition that holds immediately after it.
var moveSteps = map[string]func(sim *simulation) bool{
	"lease requested": func(sim *simulation) bool { return sim.movesInFlight() == 1 },
	"lease accepted":  func(sim *simulation) bool { return sim.movesInFlight() == 1 && !sim.anyMove().destination.unanswered },
	stepSourceGone: func(sim *simulation) bool {
		return sim.movesInFlight() == 0 && sim.lastMoveOutcome() == rebalance.Moved
	},
}

// Names for which TestMoveSurvivesFailureAtEachStep makes additional checks.
const (
	stepSourceGone    = "source gone"
	eventTaskDone     = "the task is done"
	eventJobCancelled = "the job is cancelled"
)

// moveFailures are the failures and events that are applied at a step of a move from one machine to another.
var moveFailures = map[string]func(sim *simulation, from, to string){
	"the destination's partition leader restarts": func(sim *simulation, _, to string) { sim.restartLeaderOf(to) },
	"the source's partition leader restarts":      func(sim *simulation, from, _ string) { sim.restartLeaderOf(from) },
	"both partitions change leaders": func(sim *simulation, from, to string) {
		sim.acquirePartition(sim.partitionOf(from), 1-sim.leaderOf[sim.partitionOf(from)])
		sim.acquirePartition(sim.partitionOf(to), 1-sim.leaderOf[sim.partitionOf(to)])
	},
	"the scheduler ends":                             func(sim *simulation, _, _ string) { sim.newScheduler() },
	"the scheduler ends, a late batch of it arrives": func(sim *simulation, _, _ string) { sim.replaceSchedulerWithLateBatch() },
	"the source goes on silently beyond its lease": func(sim *simulation, from, _ string) {
		sim.runStepsWith(60, func(id string) {
			if id != from {
				sim.heartbeat(id, true)
			}
		})
	},
	"the source gets no answers for a while, its heartbeats arrive": func(sim *simulation, from, _ string) {
		sim.runStepsWith(20, func(id string) { sim.heartbeat(id, id != from) })
	},
	"the destination is gone": func(sim *simulation, _, to string) {
		sim.machineIDs = without(sim.machineIDs, to)
		sim.now += lease + sec
		sim.workers[to].ExpireLease(sim.now)
	},
	"answers to batches are lost": func(sim *simulation, _, _ string) {
		for range 8 {
			for _, c := range sim.controllers {
				sim.schedule()
				sim.sendBatch(c, true, false)
			}
		}
	},
	eventTaskDone:                   func(sim *simulation, _, _ string) { sim.exitAll(wire.CauseDone) },
	"the task fails":                func(sim *simulation, _, _ string) { sim.exitAll(wire.CauseError) },
	eventJobCancelled:               func(sim *simulation, _, _ string) { sim.scheduler.CancelJob(red, "job-1") },
	"the destination gets a notice": func(sim *simulation, _, to string) { sim.sendEvictionNotice(to) },
}

// Guards against a task that runs on two machines, is lost, or counts twice against the limit because something fails during its
// move. Each failure is applied at each step of a move: the task must run on one machine at a time, and must run in the end
// unless it or its job is over.
func TestMoveSurvivesFailureAtEachStep(t *testing.T) {
	for step, reached := range moveSteps {
		for name, fail := range moveFailures {
			t.Run(step+", "+name, func(t *testing.T) {
				sim, from := simulationWithNotice(t)
				sim.runUntil(step, func() bool { return reached(sim) })
				to := sim.scheduler.moves.planner.Recent(red)[0].To
				fail(sim, from, to)
				sim.runSteps(160)
				require.Zero(t, sim.movesInFlight(), "no move may be left in progress")
				ended := sim.active["job-1"] == nil
				if name == eventTaskDone && step != stepSourceGone {
					require.True(t, ended)
				}
				if name == eventJobCancelled {
					require.True(t, ended, "the cancellation must finish")
					require.Zero(t, sim.runningTasks())
				}
				if !ended {
					require.Equal(t, 1, sim.runningTasks(), "the task must run")
				}
				require.EqualValues(t, int64(sim.runningTasks())*2_000_000, sim.scheduler.teams[red].used.CPU, "no other use is counted")
			})
		}
	}
}

// restartLeaderOf restarts the controller that leads a machine's partition.
func (s *simulation) restartLeaderOf(machine string) {
	s.restart(s.leaderOfMachine(machine))
}

// replaceSchedulerWithLateBatch replaces the scheduler. The former scheduler's last batches arrive after the new one has started.
func (s *simulation) replaceSchedulerWithLateBatch() {
	s.t.Helper()
	for _, c := range s.controllers {
		s.sendBatch(c, false, false)
	}
	s.newScheduler()
	s.runSteps(2)
	for _, late := range s.lateBatches {
		late.sentTo.HandleBatch(late.batch, late.controller.processID, s.now)
	}
}

// runStepsWith runs the cluster for so many steps of 250 ms. heartbeat sends the heartbeat of a machine, or leaves it out.
func (s *simulation) runStepsWith(steps int, heartbeat func(id string)) {
	s.t.Helper()
	for range steps {
		s.now += 250 * clock.Millisecond
		for _, id := range s.machineIDs {
			heartbeat(id)
		}
		s.advance()
		for _, c := range s.controllers {
			s.poll(c, false)
			s.schedule()
			s.sendBatch(c, true, true)
		}
		s.checkInvariants("with the caller's heartbeats")
	}
}

// anyMove returns the move that began first of those in progress.
func (s *simulation) anyMove() *move { return s.scheduler.moves.inProgress()[0] }

// without returns the names except for one.
func without(names []string, name string) (out []string) {
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// Guards against moves that must not be made, and against tasks that stay on a machine without a reason that operators can see:
// in each case the task is not moved, and the reason is counted.
func TestTaskIsNotMovedWhenDeclined(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(sim *simulation, from string)
		reason rebalance.DeclineReason
	}{
		"the team is at its limit": {func(sim *simulation, _ string) {
			sim.addJob("job-2", 5, longJob)
			sim.runSteps(8)
		}, rebalance.TeamAtLimit},
		"no machine has capacity": {func(sim *simulation, from string) {
			sim.machineIDs = []string{from}
			sim.runSteps(60)
		}, rebalance.NoCapacity},
		"the script vetoes it": {func(sim *simulation, _ string) {
			moves := *testMoves
			moves.Veto = func(rebalance.Record) bool { return true }
			sim.scheduler.parameters.Moves = &moves
		}, rebalance.Vetoed},
		"partition leaders of an earlier version hold no leases": {func(sim *simulation, _ string) {
			sim.leadersWithoutHeldLeases = true
		}, rebalance.NoCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithLimit(t, 1, 4, limitCPU)
			sim.moves = testMoves
			sim.newScheduler()
			sim.runSteps(8)
			sim.addJob("job-1", 1, longJob)
			sim.runSteps(160)
			from := sim.machineRunning("job-1/0")
			tc.change(sim, from)
			sim.sendEvictionNotice(from)
			sim.runSteps(12)
			require.True(t, sim.workers[from].Running("job-1/0"))
			require.Positive(t, sim.scheduler.moves.planner.DeclineCounts(red)[tc.reason],
				"%v", sim.scheduler.moves.planner.DeclineCounts(red))
			require.Zero(t, sim.scheduler.counters.MovesStarted)
		})
	}
}

// Guards against any order of faults during moves in which a task runs on two machines, a team exceeds its limit, a move is never
// finished, or a job never ends. Machines get eviction notices at random, and some notices are withdrawn. Each seed gives one
// random order.
func TestMovesKeepInvariantsUnderRandomFaults(t *testing.T) {
	seeds := uint64(500)
	if testing.Short() {
		seeds = 10
	}
	begun, carriedOut := 0, 0
	for seed := uint64(1); seed <= seeds; seed++ {
		sim := newSimulationWithLimit(t, seed, 5, []float64{0, limitCPU}[seed%2])
		faults := moveFaults{randomFaults: randomFaults{simulation: sim, rng: sim.rng}}
		sim.moves = testMoves
		sim.newScheduler()
		sim.runSteps(8)
		for i := range 3 {
			sim.addJob([]string{"job-1", "job-2", "job-3"}[i], 1+sim.rng.IntN(2), longJob)
		}
		sim.runSteps(140)
		for step := range 250 {
			faults.step()
			sim.checkInvariants(fmt.Sprintf("seed %d step %d", seed, step))
		}
		faults.countMoves()
		begun, carriedOut = begun+faults.begun, carriedOut+faults.carriedOut
		sim.checkMoves()
		for _, id := range sim.machineIDs {
			sim.workers[id].NoticeS = nil
		}
		for range 60 {
			sim.runSteps(4)
			sim.exitAll(wire.CauseDone)
		}
		require.Empty(t, sim.active, "seed %d: not all jobs have ended", seed)
		require.Zero(t, sim.movesInFlight(), "seed %d", seed)
		require.Zero(t, sim.scheduler.teams[red].used.CPU, "seed %d: an assignment is left over", seed)
	}
	require.Greater(t, begun, 3*int(seeds)/10, "moves begun")
	require.Greater(t, carriedOut, int(seeds)/20, "moves carried out")
	t.Logf("%d moves begun, %d carried out", begun, carriedOut)
}

// moveFaults applies random events and faults to a simulation with moves, and counts the moves.
type moveFaults struct {
	randomFaults
	begun, carriedOut int
}

// countMoves adds the moves of the present scheduler to the totals. It is called before a scheduler is replaced.
func (f *moveFaults) countMoves() {
	f.begun += f.scheduler.counters.MovesStarted
	f.carriedOut += f.scheduler.counters.MovesCompleted
}

// step applies one random event or fault.
func (f *moveFaults) step() {
	f.now += clock.Micros(f.rng.IntN(200)) * clock.Millisecond
	c, id := f.controllers[f.rng.IntN(2)], f.machineIDs[f.rng.IntN(len(f.machineIDs))]
	switch f.rng.IntN(12) {
	case 0, 1:
		f.poll(c, f.oneIn(5))
	case 2, 3:
		f.schedule()
	case 4, 5:
		f.sendBatch(c, !f.oneIn(6), !f.oneIn(5))
	case 6, 7:
		f.heartbeat(id, !f.oneIn(5))
	case 8:
		f.deliverCommands(id, f.oneIn(3), !f.oneIn(3))
	case 9:
		if f.sendEvictionNotice(id); !f.oneIn(3) {
			f.workers[id].NoticeS = nil
		}
	case 10:
		f.advance()
		for _, late := range f.lateBatches { // some arrive, unless the process they were sent to has been replaced
			if late.controller.partitionState == late.sentTo && f.oneIn(4) {
				late.sentTo.HandleBatch(late.batch, late.controller.processID, f.now)
			}
		}
	case 11:
		f.leadersChangeOrCancel(c)
	}
}

func (f *moveFaults) leadersChangeOrCancel(c *controller) {
	switch f.rng.IntN(16) {
	case 0:
		f.restart(c)
	case 1:
		f.acquirePartition(f.rng.IntN(2), f.rng.IntN(2))
	case 2:
		f.countMoves()
		f.newScheduler()
	case 3:
		f.scheduler.CancelJob(red, "job-3")
	}
}

// checkMoves checks that no move of the present scheduler has the same source and destination, and that after a move that the
// destination did not refuse the task is not moved again before the cool-down has passed.
func (s *simulation) checkMoves() {
	s.t.Helper()
	nextBegan := map[rebalance.Key]clock.Micros{}
	for _, r := range s.scheduler.moves.planner.Recent(red) { // the latest one first
		require.NotEqual(s.t, r.From, r.To)
		if r.Outcome == rebalance.DestinationRefused {
			continue
		}
		if next, movedAgain := nextBegan[r.Key]; movedAgain {
			require.GreaterOrEqual(s.t, next-r.Began, testMoves.CoolDown, "%v was moved again before the cool-down had passed", r.Key)
		}
		nextBegan[r.Key] = r.Began
	}
}

// Guards against tasks that are moved although the settings turn moves off: a machine gets an eviction notice, and its task stays.
func TestTaskIsNotMovedWhenMovesAreOff(t *testing.T) {
	sim := newSimulationWithLimit(t, 1, 4, limitCPU)
	sim.runSteps(8)
	sim.addJob("job-1", 1, longJob)
	sim.runSteps(160)
	from := sim.machineRunning("job-1/0")
	sim.sendEvictionNotice(from)
	sim.runSteps(12)
	require.True(t, sim.workers[from].Running("job-1/0"))
}
