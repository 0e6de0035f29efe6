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
func simulationWithNotice(t *testing.T) (w *simulation, from string) {
	w = newSimulationWithLimit(t, 1, 4, limitCPU)
	w.moves = testMoves
	w.newScheduler()
	w.runSteps(8)
	w.addJob("job-1", 1, longJob)
	w.runSteps(160)
	from, _ = w.machineRunning("job-1/0")
	w.sendEvictionNotice(from)
	return w, from
}

// sendEvictionNotice has a machine say from now on that it is taken away in a minute.
func (w *simulation) sendEvictionNotice(id string) {
	left := 60.0
	w.workers[id].NoticeS = &left
}

// step runs the cluster runUntil a move is at a point, and no further.
func (w *simulation) runUntil(what string, reached func() bool) {
	for range 200 {
		if reached() {
			return
		}
		w.now += 50 * clock.Millisecond
		for _, id := range w.machineIDs {
			w.heartbeat(id, true)
			if reached() {
				return
			}
		}
		for _, h := range w.controllers {
			w.poll(h, false)
			if reached() {
				return
			}
			w.schedule()
			if reached() {
				return
			}
			w.sendBatch(h, true, true)
			if reached() {
				return
			}
		}
		w.checkInvariants(what)
	}
	require.Fail(w.t, "never came", what)
}

func (w *simulation) lastMoveOutcome() rebalance.Outcome {
	recent := w.scheduler.moves.planner.Recent(red)
	if len(recent) == 0 {
		return ""
	}
	return recent[0].Outcome
}

func (w *simulation) movesInFlight() int { return len(w.scheduler.moves.bySource) }

// A task leaves a machine that is taken away: its room elsewhere is held first.
func TestATaskMovesOffAMachineWithANotice(t *testing.T) {
	w, from := simulationWithNotice(t)
	w.runSteps(12)
	at, _ := w.machineRunning("job-1/0")
	require.NotEqual(t, from, at)
	require.Equal(t, rebalance.Moved, w.lastMoveOutcome())
	require.Equal(t, 1, w.scheduler.counters.Moved)
	require.Zero(t, w.movesInFlight())
	require.Empty(t, w.scheduler.moves.byDestination)
	require.Equal(t, 1, w.workers[at].Starts["job-1/0"])
	require.EqualValues(t, 2_000_000, w.scheduler.teams[red].used.CPU, "nothing is left behind")
}

// Whatever ends at whatever step of a move, the task runs on one machine at a time, and goes on
// in the end. Each step is the moment just before what it names is known.
func TestAMoveMeetsTroubleAtEachStep(t *testing.T) {
	steps := map[string]func(w *simulation) bool{
		"asked":   func(w *simulation) bool { return w.movesInFlight() == 1 },
		"granted": func(w *simulation) bool { return w.movesInFlight() == 1 && !w.anyMove().destination.unanswered },
		"source gone": func(w *simulation) bool {
			return w.movesInFlight() == 0 && w.lastMoveOutcome() == rebalance.Moved
		},
	}
	troubles := map[string]func(w *simulation, from, to string){
		"the destination's owner ends": func(w *simulation, _, to string) {
			w.restart(w.controllers[w.leaderOf[w.partitionOf(to)]])
		},
		"the source's owner ends": func(w *simulation, from, _ string) {
			w.restart(w.controllers[w.leaderOf[w.partitionOf(from)]])
		},
		"both partitions change hands": func(w *simulation, from, to string) {
			w.acquirePartition(w.partitionOf(from), 1-w.leaderOf[w.partitionOf(from)])
			w.acquirePartition(w.partitionOf(to), 1-w.leaderOf[w.partitionOf(to)])
		},
		"the placer ends": func(w *simulation, _, _ string) { w.newScheduler() },
		"the placer ends, a late round of it arrives": func(w *simulation, _, to string) {
			for _, h := range w.controllers {
				w.sendBatch(h, false, false)
			}
			w.newScheduler()
			w.runSteps(2)
			for _, r := range w.lateBatches {
				r.sentTo.HandleBatch(r.batch, r.controller.instance, w.now)
			}
		},
		"the source goes on silently beyond its lease": func(w *simulation, from, _ string) {
			w.runStepsWith(60, func(id string) {
				if id != from {
					w.heartbeat(id, true)
				}
			})
		},
		"the source hears nothing for a while, its reports arrive": func(w *simulation, from, _ string) {
			w.runStepsWith(20, func(id string) { w.heartbeat(id, id != from) })
		},
		"the destination is gone": func(w *simulation, _, to string) {
			w.machineIDs = without(w.machineIDs, to)
			w.now += lease + sec
			w.workers[to].Check(w.now)
		},
		"answers to rounds are lost": func(w *simulation, _, _ string) {
			for range 8 {
				for _, h := range w.controllers {
					w.schedule()
					w.sendBatch(h, true, false)
				}
			}
		},
		"the task is done": func(w *simulation, _, _ string) { w.exitAll(wire.CauseDone) },
		"the task fails":   func(w *simulation, _, _ string) { w.exitAll(wire.CauseError) },
		"the job is withdrawn": func(w *simulation, _, _ string) {
			w.scheduler.CancelJob(red, "job-1")
		},
		"the destination gets a notice": func(w *simulation, _, to string) { w.sendEvictionNotice(to) },
	}
	for step, reached := range steps {
		for name, trouble := range troubles {
			t.Run(step+", "+name, func(t *testing.T) {
				w, from := simulationWithNotice(t)
				w.runUntil(step, func() bool { return reached(w) })
				to := w.scheduler.moves.planner.Recent(red)[0].To
				trouble(w, from, to)
				w.runSteps(160)
				require.Zero(t, w.movesInFlight(), "no move is left")
				over := w.active["job-1"] == nil
				if name == "the task is done" && step != "source gone" {
					require.True(t, over)
				}
				if name == "the job is withdrawn" {
					require.True(t, over, "withdrawn in the end")
					require.Zero(t, w.runningTasks())
				}
				if !over {
					require.Equal(t, 1, w.runningTasks(), "it goes on")
				}
				require.EqualValues(t, int64(w.runningTasks())*2_000_000, w.scheduler.teams[red].used.CPU, "nothing is left behind")
			})
		}
	}
}

// runStepsWith runs the cluster for a while, with reports as the caller will have them.
func (w *simulation) runStepsWith(steps int, report func(id string)) {
	for range steps {
		w.now += 250 * clock.Millisecond
		for _, id := range w.machineIDs {
			report(id)
		}
		w.advance()
		for _, h := range w.controllers {
			w.poll(h, false)
			w.schedule()
			w.sendBatch(h, true, true)
		}
		w.checkInvariants("going on")
	}
}

// anyMove is the only move under way.
func (w *simulation) anyMove() *move { return w.scheduler.moves.underWay()[0] }

func without(names []string, name string) (out []string) {
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// Tasks stay where they are: each reason counts.
func TestTasksThatAreNotMoved(t *testing.T) {
	for name, x := range map[string]struct {
		change func(w *simulation, from string)
		why    rebalance.DeclineReason
	}{
		"the team is at its limit": {func(w *simulation, _ string) {
			w.addJob("job-2", 5, longJob)
			w.runSteps(8)
		}, rebalance.TeamAtLimit},
		"no machine has room": {func(w *simulation, from string) {
			w.machineIDs = []string{from}
			w.runSteps(60)
		}, rebalance.NoRoom},
		"the script vetoes it": {func(w *simulation, _ string) {
			moves := *testMoves
			moves.Veto = func(rebalance.Record) bool { return true }
			w.scheduler.timing.Moves = &moves
		}, rebalance.Vetoed},
		"owners of an earlier version hold no room": {func(w *simulation, _ string) {
			w.leadersWithoutReservations = true
		}, rebalance.NoRoom},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulationWithLimit(t, 1, 4, limitCPU)
			w.moves = testMoves
			w.newScheduler()
			w.runSteps(8)
			w.addJob("job-1", 1, longJob)
			w.runSteps(160)
			from, _ := w.machineRunning("job-1/0")
			x.change(w, from)
			w.sendEvictionNotice(from)
			w.runSteps(12)
			require.True(t, w.workers[from].Running("job-1/0"))
			require.Positive(t, w.scheduler.moves.planner.DeclinedOf(red)[x.why], "%v", w.scheduler.moves.planner.DeclinedOf(red))
			require.Zero(t, w.scheduler.counters.Moves)
		})
	}
}

// Whatever fails while tasks are moved off machines that get notices and lose them again: no
// task on two machines, no team over its limit, no move left behind, and every job done.
func TestMovesWhateverFails(t *testing.T) {
	seeds := uint64(500)
	if testing.Short() {
		seeds = 10
	}
	begun, carriedOut := 0, 0
	for seed := uint64(1); seed <= seeds; seed++ {
		w := newSimulationWithLimit(t, seed, 5, []float64{0, limitCPU}[seed%2])
		w.moves = testMoves
		w.newScheduler()
		w.runSteps(8)
		for i := range 3 {
			w.addJob([]string{"job-1", "job-2", "job-3"}[i], 1+w.rng.IntN(2), longJob)
		}
		w.runSteps(140)
		for step := range 250 {
			w.now += clock.Micros(w.rng.IntN(200)) * clock.Millisecond
			h, id := w.controllers[w.rng.IntN(2)], w.machineIDs[w.rng.IntN(len(w.machineIDs))]
			switch w.rng.IntN(12) {
			case 0, 1:
				w.poll(h, w.rng.IntN(5) == 0)
			case 2, 3:
				w.schedule()
			case 4, 5:
				w.sendBatch(h, w.rng.IntN(6) > 0, w.rng.IntN(5) > 0)
			case 6, 7:
				w.heartbeat(id, w.rng.IntN(5) > 0)
			case 8:
				w.deliverCommands(id, w.rng.IntN(3) == 0, w.rng.IntN(3) > 0)
			case 9:
				if w.sendEvictionNotice(id); w.rng.IntN(3) > 0 {
					w.workers[id].NoticeS = nil
				}
			case 10:
				w.advance()
				for _, r := range w.lateBatches { // late ones reach the process they were sent to, if that lives
					if r.controller.partitionState == r.sentTo && w.rng.IntN(4) == 0 {
						r.sentTo.HandleBatch(r.batch, r.controller.instance, w.now)
					}
				}
			case 11:
				switch w.rng.IntN(16) {
				case 0:
					w.restart(h)
				case 1:
					w.acquirePartition(w.rng.IntN(2), w.rng.IntN(2))
				case 2:
					begun, carriedOut = begun+w.scheduler.counters.Moves, carriedOut+w.scheduler.counters.Moved
					w.newScheduler()
				case 3:
					w.scheduler.CancelJob(red, "job-3")
				}
			}
			w.checkInvariants(fmt.Sprintf("seed %d step %d", seed, step))
		}
		begun, carriedOut = begun+w.scheduler.counters.Moves, carriedOut+w.scheduler.counters.Moved
		w.checkMoves()
		for _, id := range w.machineIDs {
			w.workers[id].NoticeS = nil
		}
		for range 60 {
			w.runSteps(4)
			w.exitAll(wire.CauseDone)
		}
		require.Empty(t, w.active, "seed %d: some job never ended", seed)
		require.Zero(t, w.movesInFlight(), "seed %d", seed)
		require.Zero(t, w.scheduler.teams[red].used.CPU, "seed %d: something is left behind", seed)
	}
	require.Greater(t, begun, 3*int(seeds)/10, "moves begun")
	require.Greater(t, carriedOut, int(seeds)/20, "moves carried out")
	t.Logf("%d moves begun, %d carried out", begun, carriedOut)
}

// checkMoves holds the placer's moves against each other: none ends where it began, and a task that
// was told to stop stays for the cool-down.
func (w *simulation) checkMoves() {
	last := map[rebalance.Key]clock.Micros{}
	for _, r := range w.scheduler.moves.planner.Recent(red) { // the last one first
		require.NotEqual(w.t, r.From, r.To)
		if r.Outcome == rebalance.NoLease {
			continue
		}
		if later, again := last[r.Key]; again {
			require.GreaterOrEqual(w.t, later-r.Began, testMoves.CoolDown, "%v goes to and fro", r.Key)
		}
		last[r.Key] = r.Began
	}
}

// With moves off nothing is moved, and nothing is looked at.
func TestNothingIsMovedWhereMovesAreOff(t *testing.T) {
	w := newSimulationWithLimit(t, 1, 4, limitCPU)
	w.runSteps(8)
	w.addJob("job-1", 1, longJob)
	w.runSteps(160)
	from, _ := w.machineRunning("job-1/0")
	w.sendEvictionNotice(from)
	w.runSteps(12)
	require.True(t, w.workers[from].Running("job-1/0"))
}
