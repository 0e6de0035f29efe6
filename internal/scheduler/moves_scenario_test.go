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

// longJob has tasks that save and run for 200 s.
func longJob(j *wire.Job) {
	j.CheckpointIntervalS, j.CheckpointDurationS, j.RuntimeEstimateS = 10, 1, 200
}

// simulationWithNotice is a world whose only task has run for a while on a machine that then gets a notice.
func simulationWithNotice(t *testing.T) (sim *simulation, from string) {
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

// sendEvictionNotice has a machine say from now on that it is taken away in a minute.
func (s *simulation) sendEvictionNotice(id string) {
	left := 60.0
	s.workers[id].NoticeS = &left
}

// step runs the cluster runUntil a move is at a point, and no further.
func (s *simulation) runUntil(what string, reached func() bool) {
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
		for _, h := range s.controllers {
			s.poll(h, false)
			if reached() {
				return
			}
			s.schedule()
			if reached() {
				return
			}
			s.sendBatch(h, true, true)
			if reached() {
				return
			}
		}
		s.checkInvariants(what)
	}
	require.Fail(s.t, "never came", what)
}

func (s *simulation) lastMoveOutcome() rebalance.Outcome {
	recent := s.scheduler.moves.planner.Recent(red)
	if len(recent) == 0 {
		return ""
	}
	return recent[0].Outcome
}

func (s *simulation) movesInFlight() int { return len(s.scheduler.moves.bySource) }

// A task leaves a machine that is taken away: its room elsewhere is held first.
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

// Whatever ends at whatever step of a move, the task runs on one machine at a time, and goes on
// in the end. Each step is the moment just before what it names is known.
func TestMoveSurvivesFailureAtEachStep(t *testing.T) {
	steps := map[string]func(sim *simulation) bool{
		"asked":   func(sim *simulation) bool { return sim.movesInFlight() == 1 },
		"granted": func(sim *simulation) bool { return sim.movesInFlight() == 1 && !sim.anyMove().destination.unanswered },
		"source gone": func(sim *simulation) bool {
			return sim.movesInFlight() == 0 && sim.lastMoveOutcome() == rebalance.Moved
		},
	}
	troubles := map[string]func(sim *simulation, from, to string){
		"the destination's owner ends": func(sim *simulation, _, to string) {
			sim.restart(sim.controllers[sim.leaderOf[sim.partitionOf(to)]])
		},
		"the source's owner ends": func(sim *simulation, from, _ string) {
			sim.restart(sim.controllers[sim.leaderOf[sim.partitionOf(from)]])
		},
		"both partitions change hands": func(sim *simulation, from, to string) {
			sim.acquirePartition(sim.partitionOf(from), 1-sim.leaderOf[sim.partitionOf(from)])
			sim.acquirePartition(sim.partitionOf(to), 1-sim.leaderOf[sim.partitionOf(to)])
		},
		"the placer ends": func(sim *simulation, _, _ string) { sim.newScheduler() },
		"the placer ends, a late round of it arrives": func(sim *simulation, _, to string) {
			for _, h := range sim.controllers {
				sim.sendBatch(h, false, false)
			}
			sim.newScheduler()
			sim.runSteps(2)
			for _, r := range sim.lateBatches {
				r.sentTo.HandleBatch(r.batch, r.controller.instance, sim.now)
			}
		},
		"the source goes on silently beyond its lease": func(sim *simulation, from, _ string) {
			sim.runStepsWith(60, func(id string) {
				if id != from {
					sim.heartbeat(id, true)
				}
			})
		},
		"the source hears nothing for a while, its reports arrive": func(sim *simulation, from, _ string) {
			sim.runStepsWith(20, func(id string) { sim.heartbeat(id, id != from) })
		},
		"the destination is gone": func(sim *simulation, _, to string) {
			sim.machineIDs = without(sim.machineIDs, to)
			sim.now += lease + sec
			sim.workers[to].Check(sim.now)
		},
		"answers to rounds are lost": func(sim *simulation, _, _ string) {
			for range 8 {
				for _, h := range sim.controllers {
					sim.schedule()
					sim.sendBatch(h, true, false)
				}
			}
		},
		"the task is done": func(sim *simulation, _, _ string) { sim.exitAll(wire.CauseDone) },
		"the task fails":   func(sim *simulation, _, _ string) { sim.exitAll(wire.CauseError) },
		"the job is withdrawn": func(sim *simulation, _, _ string) {
			sim.scheduler.CancelJob(red, "job-1")
		},
		"the destination gets a notice": func(sim *simulation, _, to string) { sim.sendEvictionNotice(to) },
	}
	for step, reached := range steps {
		for name, trouble := range troubles {
			t.Run(step+", "+name, func(t *testing.T) {
				sim, from := simulationWithNotice(t)
				sim.runUntil(step, func() bool { return reached(sim) })
				to := sim.scheduler.moves.planner.Recent(red)[0].To
				trouble(sim, from, to)
				sim.runSteps(160)
				require.Zero(t, sim.movesInFlight(), "no move is left")
				over := sim.active["job-1"] == nil
				if name == "the task is done" && step != "source gone" {
					require.True(t, over)
				}
				if name == "the job is withdrawn" {
					require.True(t, over, "withdrawn in the end")
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

// runStepsWith runs the cluster for a while, with reports as the caller will have them.
func (s *simulation) runStepsWith(steps int, report func(id string)) {
	for range steps {
		s.now += 250 * clock.Millisecond
		for _, id := range s.machineIDs {
			report(id)
		}
		s.advance()
		for _, h := range s.controllers {
			s.poll(h, false)
			s.schedule()
			s.sendBatch(h, true, true)
		}
		s.checkInvariants("going on")
	}
}

// anyMove is the only move under way.
func (s *simulation) anyMove() *move { return s.scheduler.moves.underWay()[0] }

func without(names []string, name string) (out []string) {
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// Tasks stay where they are: each reason counts.
func TestTaskIsNotMovedWhenDeclined(t *testing.T) {
	for name, x := range map[string]struct {
		change func(sim *simulation, from string)
		why    rebalance.DeclineReason
	}{
		"the team is at its limit": {func(sim *simulation, _ string) {
			sim.addJob("job-2", 5, longJob)
			sim.runSteps(8)
		}, rebalance.TeamAtLimit},
		"no machine has room": {func(sim *simulation, from string) {
			sim.machineIDs = []string{from}
			sim.runSteps(60)
		}, rebalance.NoRoom},
		"the script vetoes it": {func(sim *simulation, _ string) {
			moves := *testMoves
			moves.Veto = func(rebalance.Record) bool { return true }
			sim.scheduler.timing.Moves = &moves
		}, rebalance.Vetoed},
		"owners of an earlier version hold no room": {func(sim *simulation, _ string) {
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

// Whatever fails while tasks are moved off machines that get notices and lose them again: no
// task on two machines, no team over its limit, no move left behind, and every job done.
func TestMovesKeepInvariantsUnderRandomFaults(t *testing.T) {
	seeds := uint64(500)
	if testing.Short() {
		seeds = 10
	}
	begun, carriedOut := 0, 0
	for seed := uint64(1); seed <= seeds; seed++ {
		sim := newSimulationWithLimit(t, seed, 5, []float64{0, limitCPU}[seed%2])
		sim.moves = testMoves
		sim.newScheduler()
		sim.runSteps(8)
		for i := range 3 {
			sim.addJob([]string{"job-1", "job-2", "job-3"}[i], 1+sim.rng.IntN(2), longJob)
		}
		sim.runSteps(140)
		for step := range 250 {
			sim.now += clock.Micros(sim.rng.IntN(200)) * clock.Millisecond
			h, id := sim.controllers[sim.rng.IntN(2)], sim.machineIDs[sim.rng.IntN(len(sim.machineIDs))]
			switch sim.rng.IntN(12) {
			case 0, 1:
				sim.poll(h, sim.rng.IntN(5) == 0)
			case 2, 3:
				sim.schedule()
			case 4, 5:
				sim.sendBatch(h, sim.rng.IntN(6) > 0, sim.rng.IntN(5) > 0)
			case 6, 7:
				sim.heartbeat(id, sim.rng.IntN(5) > 0)
			case 8:
				sim.deliverCommands(id, sim.rng.IntN(3) == 0, sim.rng.IntN(3) > 0)
			case 9:
				if sim.sendEvictionNotice(id); sim.rng.IntN(3) > 0 {
					sim.workers[id].NoticeS = nil
				}
			case 10:
				sim.advance()
				for _, r := range sim.lateBatches { // late ones reach the process they were sent to, if that lives
					if r.controller.partitionState == r.sentTo && sim.rng.IntN(4) == 0 {
						r.sentTo.HandleBatch(r.batch, r.controller.instance, sim.now)
					}
				}
			case 11:
				switch sim.rng.IntN(16) {
				case 0:
					sim.restart(h)
				case 1:
					sim.acquirePartition(sim.rng.IntN(2), sim.rng.IntN(2))
				case 2:
					begun, carriedOut = begun+sim.scheduler.counters.Moves, carriedOut+sim.scheduler.counters.Moved
					sim.newScheduler()
				case 3:
					sim.scheduler.CancelJob(red, "job-3")
				}
			}
			sim.checkInvariants(fmt.Sprintf("seed %d step %d", seed, step))
		}
		begun, carriedOut = begun+sim.scheduler.counters.Moves, carriedOut+sim.scheduler.counters.Moved
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

// checkMoves holds the placer's moves against each other: none ends where it began, and a task that
// was told to stop stays for the cool-down.
func (s *simulation) checkMoves() {
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

// With moves off nothing is moved, and nothing is looked at.
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
