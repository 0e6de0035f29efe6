package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/rebalance"
	"github.com/merlinlatch/merlinlatch/wire"
)

var testMoves = &Moves{Limits: rebalance.Limits{Margin: 1.5, CoolDown: 60 * sec, PerTeam: 20, PerMachine: 20, Detect: lease}}

// longJob has tasks that checkpoint and run for 200 s.
func longJob(j *wire.Job) {
	j.CheckpointIntervalS, j.CheckpointDurationS, j.RuntimeEstimateS = 10, 1, 200
}

// simulationWithNotice is a simulation whose only task has run for a while on a machine that then gets an eviction notice.
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

// sendEvictionNotice has a machine report from now on that it is taken away in a minute.
func (s *simulation) sendEvictionNotice(id string) {
	left := 60.0
	s.workers[id].NoticeS = &left
}

// runUntil runs the cluster until a move is at a point, and no further.
func (s *simulation) runUntil(what string, reached func() bool) {
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
		s.checkInvariants(what)
	}
	require.Fail(s.t, "never reached", what)
}

// lastMoveOutcome is the outcome of the last move; empty while it is under way, or where there was none.
func (s *simulation) lastMoveOutcome() rebalance.Outcome {
	recent := s.scheduler.moves.planner.Recent(red)
	if len(recent) == 0 {
		return ""
	}
	return recent[0].Outcome
}

// movesInFlight is how many moves are under way.
func (s *simulation) movesInFlight() int { return len(s.scheduler.moves.bySource) }

// A task leaves a machine that is taken away: a lease elsewhere is held first.
func TestTaskMovesOffMachineWithEvictionNotice(t *testing.T) {
	sim, from := simulationWithNotice(t)
	sim.runSteps(12)
	at := sim.machineRunning("job-1/0")
	require.NotEqual(t, from, at)
	require.Equal(t, rebalance.Moved, sim.lastMoveOutcome())
	require.Equal(t, 1, sim.scheduler.counters.Moved)
	require.Zero(t, sim.movesInFlight())
	require.Empty(t, sim.scheduler.moves.byDestination)
	require.Equal(t, 1, sim.workers[at].Starts["job-1/0"])
	require.EqualValues(t, 2_000_000, sim.scheduler.teams[red].used.CPU, "nothing is left behind")
}

// moveSteps are the moments in a move just before what they name is known.
var moveSteps = map[string]func(sim *simulation) bool{
	"lease requested": func(sim *simulation) bool { return sim.movesInFlight() == 1 },
	"lease accepted":  func(sim *simulation) bool { return sim.movesInFlight() == 1 && !sim.anyMove().destination.unanswered },
	stepSourceGone: func(sim *simulation) bool {
		return sim.movesInFlight() == 0 && sim.lastMoveOutcome() == rebalance.Moved
	},
}

// Names that TestMoveSurvivesFailureAtEachStep tells apart.
const (
	stepSourceGone   = "source gone"
	failureTaskDone  = "the task is done"
	failureCancelled = "the job is cancelled"
)

// moveFailures are what may happen at a step of a move from a machine to another.
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
		sim.workers[to].Check(sim.now)
	},
	"answers to batches are lost": func(sim *simulation, _, _ string) {
		for range 8 {
			for _, c := range sim.controllers {
				sim.schedule()
				sim.sendBatch(c, true, false)
			}
		}
	},
	failureTaskDone:                 func(sim *simulation, _, _ string) { sim.exitAll(wire.CauseDone) },
	"the task fails":                func(sim *simulation, _, _ string) { sim.exitAll(wire.CauseError) },
	failureCancelled:                func(sim *simulation, _, _ string) { sim.scheduler.CancelJob(red, "job-1") },
	"the destination gets a notice": func(sim *simulation, _, to string) { sim.sendEvictionNotice(to) },
}

// Whatever fails at whatever step of a move, the task runs on one machine at a time, and goes on
// in the end.
func TestMoveSurvivesFailureAtEachStep(t *testing.T) {
	for step, reached := range moveSteps {
		for name, fail := range moveFailures {
			t.Run(step+", "+name, func(t *testing.T) {
				sim, from := simulationWithNotice(t)
				sim.runUntil(step, func() bool { return reached(sim) })
				to := sim.scheduler.moves.planner.Recent(red)[0].To
				fail(sim, from, to)
				sim.runSteps(160)
				require.Zero(t, sim.movesInFlight(), "no move is left")
				over := sim.active["job-1"] == nil
				if name == failureTaskDone && step != stepSourceGone {
					require.True(t, over)
				}
				if name == failureCancelled {
					require.True(t, over, "cancelled in the end")
					require.Zero(t, sim.runningTasks())
				}
				if !over {
					require.Equal(t, 1, sim.runningTasks(), "it goes on")
				}
				require.EqualValues(t, int64(sim.runningTasks())*2_000_000, sim.scheduler.teams[red].used.CPU, "nothing is left behind")
			})
		}
	}
}

// restartLeaderOf restarts the controller that leads a machine's partition.
func (s *simulation) restartLeaderOf(machine string) {
	s.restart(s.controllers[s.leaderOf[s.partitionOf(machine)]])
}

// replaceSchedulerWithLateBatch replaces the scheduler, and lets the former one's last batches arrive afterwards.
func (s *simulation) replaceSchedulerWithLateBatch() {
	s.t.Helper()
	for _, c := range s.controllers {
		s.sendBatch(c, false, false)
	}
	s.newScheduler()
	s.runSteps(2)
	for _, late := range s.lateBatches {
		late.sentTo.HandleBatch(late.batch, late.controller.instance, s.now)
	}
}

// runStepsWith runs the cluster for a while, with heartbeats as the caller sends them.
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
		s.checkInvariants("going on")
	}
}

// anyMove is the only move under way.
func (s *simulation) anyMove() *move { return s.scheduler.moves.underWay()[0] }

// without returns the names but one.
func without(names []string, name string) (out []string) {
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// Tasks stay where they are: each reason is counted.
func TestTaskIsNotMovedWhenDeclined(t *testing.T) {
	for name, x := range map[string]struct {
		change func(sim *simulation, from string)
		why    rebalance.DeclineReason
	}{
		"the team is at its limit": {func(sim *simulation, _ string) {
			sim.addJob("job-2", 5, longJob)
			sim.runSteps(8)
		}, rebalance.TeamAtLimit},
		"no machine has capacity": {func(sim *simulation, from string) {
			sim.machineIDs = []string{from}
			sim.runSteps(60)
		}, rebalance.NoRoom},
		"the script vetoes it": {func(sim *simulation, _ string) {
			moves := *testMoves
			moves.Veto = func(rebalance.Record) bool { return true }
			sim.scheduler.timing.Moves = &moves
		}, rebalance.Vetoed},
		"partition leaders of an earlier version hold no leases": {func(sim *simulation, _ string) {
			sim.leadersWithoutReservations = true
		}, rebalance.NoRoom},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithLimit(t, 1, 4, limitCPU)
			sim.moves = testMoves
			sim.newScheduler()
			sim.runSteps(8)
			sim.addJob("job-1", 1, longJob)
			sim.runSteps(160)
			from := sim.machineRunning("job-1/0")
			x.change(sim, from)
			sim.sendEvictionNotice(from)
			sim.runSteps(12)
			require.True(t, sim.workers[from].Running("job-1/0"))
			require.Positive(t, sim.scheduler.moves.planner.DeclinedOf(red)[x.why], "%v", sim.scheduler.moves.planner.DeclinedOf(red))
			require.Zero(t, sim.scheduler.counters.Moves)
		})
	}
}

// Whatever fails while tasks are moved off machines that get eviction notices and lose them again: no
// task on two machines, no team over its limit, no move left behind, and every job done.
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
		require.Empty(t, sim.active, "seed %d: some job never ended", seed)
		require.Zero(t, sim.movesInFlight(), "seed %d", seed)
		require.Zero(t, sim.scheduler.teams[red].used.CPU, "seed %d: something is left behind", seed)
	}
	require.Greater(t, begun, 3*int(seeds)/10, "moves begun")
	require.Greater(t, carriedOut, int(seeds)/20, "moves carried out")
	t.Logf("%d moves begun, %d carried out", begun, carriedOut)
}

// moveFaults lets things happen at random to a simulation with moves, and counts the moves.
type moveFaults struct {
	randomFaults
	begun, carriedOut int
}

// countMoves adds the moves of the present scheduler.
func (f *moveFaults) countMoves() {
	f.begun += f.scheduler.counters.Moves
	f.carriedOut += f.scheduler.counters.Moved
}

// step lets one thing happen.
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
		for _, late := range f.lateBatches { // some reach the process they were sent to, if that lives
			if late.controller.partitionState == late.sentTo && f.oneIn(4) {
				late.sentTo.HandleBatch(late.batch, late.controller.instance, f.now)
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

// checkMoves compares the scheduler's moves with each other: none ends where it began, and a task that
// was stopped for one stays for the cool-down.
func (s *simulation) checkMoves() {
	s.t.Helper()
	last := map[rebalance.Key]clock.Micros{}
	for _, r := range s.scheduler.moves.planner.Recent(red) { // the last one first
		require.NotEqual(s.t, r.From, r.To)
		if r.Outcome == rebalance.NoLease {
			continue
		}
		if later, again := last[r.Key]; again {
			require.GreaterOrEqual(s.t, later-r.Began, testMoves.CoolDown, "%v goes to and fro", r.Key)
		}
		last[r.Key] = r.Began
	}
}

// With moves off nothing is moved, and nothing is examined.
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
