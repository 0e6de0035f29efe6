package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/rebalance"
	"github.com/merlinlatch/merlinlatch/wire"
)

// MoveSettings configures how running tasks are moved off machines that should be drained.
type MoveSettings struct {
	rebalance.Limits
	// Veto reports whether the operators' policy script vetoes a move. nil: no move is vetoed.
	Veto func(rebalance.Record) bool
}

// move is a move in progress: its state machine, the task's assignment at the source, and the held lease at the destination.
type move struct {
	*rebalance.Move
	source, destination *assignment
}

// activeMoves are the moves in progress, indexed by each of their two assignments.
type activeMoves struct {
	planner       *rebalance.Planner // nil: moves are off
	bySource      map[*assignment]*move
	byDestination map[*assignment]*move
}

func newActiveMoves(config *MoveSettings) activeMoves {
	out := activeMoves{bySource: map[*assignment]*move{}, byDestination: map[*assignment]*move{}}
	if config != nil {
		out.planner = rebalance.NewPlanner(config.Limits)
	}
	return out
}

func (m *activeMoves) add(mv *move) { m.bySource[mv.source], m.byDestination[mv.destination] = mv, mv }

func (m *activeMoves) remove(mv *move) {
	delete(m.bySource, mv.source)
	delete(m.byDestination, mv.destination)
}

// inProgress returns the moves in progress in the order in which they began.
func (m *activeMoves) inProgress() []*move {
	out := make([]*move, 0, len(m.bySource))
	for _, mv := range m.bySource {
		out = append(out, mv)
	}
	slices.SortFunc(out, func(a, b *move) int { return int(a.destination.id.Attempt) - int(b.destination.id.Attempt) })
	return out
}

// hasDestination reports whether a move to a machine is in progress.
func (m *activeMoves) hasDestination(machine string) bool {
	for a := range m.byDestination {
		if a.machine == machine {
			return true
		}
	}
	return false
}

// moveInterval is the minimum time between two searches for tasks to move.
const moveInterval = clock.Second

// moveTasks abandons moves that take too long and starts new ones, at most once every moveInterval.
func (s *Scheduler) moveTasks(now clock.Micros) {
	if s.parameters.Moves == nil || now < s.movesCheckedAt+moveInterval {
		return
	}
	s.movesCheckedAt = now
	for _, mv := range s.moves.inProgress() {
		s.applyMoveAction(mv, mv.Expire(now))
	}
	s.moves.planner.DropExpired(now)
	for _, m := range s.machines {
		if reason, ok := s.drainReason(m); ok {
			s.moveTasksOff(m, reason, now)
		}
	}
}

// drainReason returns why a machine should be drained, or false if it should not be.
func (s *Scheduler) drainReason(m *machineState) (rebalance.Reason, bool) {
	switch {
	case !m.Accounted || m.Silent || !s.isCurrent(m):
		return "", false // its cached state may be out of date
	case m.Noticed:
		return rebalance.SpotNotice, true
	case m.Sick && m.slow:
		return rebalance.SlowMachine, true
	}
	return "", false
}

// moveTasksOff starts moves of a machine's tasks where that is possible and worthwhile, and counts why the others stay.
func (s *Scheduler) moveTasksOff(m *machineState, reason rebalance.Reason, now clock.Micros) {
	for _, a := range m.assignmentsByAttempt() {
		if !s.isMovable(a) {
			continue
		}
		candidate := s.moveCandidate(a, m, reason, now)
		if declined := s.tryMove(a, candidate, now); declined != rebalance.NotDeclined {
			s.moves.planner.Decline(a.job.team.Name, declined)
		}
	}
}

// isMovable reports whether an assignment is a running task of an active job and is not being moved already.
func (s *Scheduler) isMovable(a *assignment) bool {
	j := a.job
	if a.orphaned || a.held || a.stopping || a.unanswered || a.phase != wire.TaskRunning {
		return false
	}
	return !j.cancelling && !j.finalWriteInFlight && j.isCurrent(a) && j.isActive() && s.moves.bySource[a] == nil
}

// moveCandidate returns what the planner needs to know of a task that should be moved.
func (s *Scheduler) moveCandidate(a *assignment, m *machineState, reason rebalance.Reason, now clock.Micros) *rebalance.Candidate {
	j, age := a.job, now-m.updatedAt
	c := &rebalance.Candidate{
		Key:                rebalance.Key{Job: j.ID, N: a.id.N},
		Team:               j.team.Name,
		Machine:            m.ID,
		Reason:             reason,
		CanCheckpoint:      j.CheckpointIntervalS > 0,
		CheckpointDuration: clock.FromSeconds(j.CheckpointDurationS),
		NoticeLeft:         max(0, m.NoticeLeft-age),
		Slowdown:           m.slowdown(),
		ViewAge:            s.viewAge(m, now),
		Load:               m.load(m.available.CPU),
	}
	c.RunTime = a.runTime(now)
	c.TimeLeft = max(0, clock.Micros(float64(clock.FromSeconds(j.RuntimeEstimateS))*max(c.Slowdown, 1))-c.RunTime)
	c.Uncheckpointed = min(clock.FromSeconds(j.CheckpointIntervalS), c.RunTime) / 2
	return c
}

// tryMove starts a move of a task, or returns why the task is not moved.
func (s *Scheduler) tryMove(a *assignment, c *rebalance.Candidate, now clock.Micros) rebalance.DeclineReason {
	planner, j := s.moves.planner, a.job
	if declined := planner.Evaluate(c, now); declined != rebalance.NotDeclined {
		return declined
	}
	// The task counts twice against the team's limit until it is gone from the source.
	if !j.team.withinLimit(j.Need) {
		return rebalance.TeamAtLimit
	}
	reason := rebalance.NoCapacity
	for _, to := range s.machinesForMove(j, a.machine, now) {
		destination := s.moveDestination(j, to, now)
		gain, cost, declined := planner.EvaluateDestination(c, destination, now)
		if reason = declined; declined != rebalance.NotDeclined {
			continue
		}
		proposal := rebalance.Record{
			Team: c.Team, From: c.Machine, To: to.ID, Key: c.Key, Reason: c.Reason, Gain: gain, Cost: cost, Began: now,
		}
		if veto := s.parameters.Moves.Veto; veto != nil && veto(proposal) {
			return rebalance.Vetoed
		}
		s.startMove(a, to, planner.StartMove(c, destination, gain, cost, now), now)
		return rebalance.NotDeclined
	}
	return reason
}

// machinesForMove returns the machines to which a task of a job may move, those that have its image first.
func (s *Scheduler) machinesForMove(j *job, from string, now clock.Micros) (out []*machineState) {
	for _, m := range s.findCapacityAnyImage(j, now) {
		// A partition leader of an earlier version can't hold a lease and would start the task immediately, while it still runs
		// at the source.
		if m.ID != from && s.sessions[m.leader].supportsHeldLeases && !s.moves.hasDestination(m.ID) {
			out = append(out, m)
		}
	}
	return out
}

// moveDestination returns what the planner needs to know of a machine to which a task may move.
func (s *Scheduler) moveDestination(j *job, m *machineState, now clock.Micros) *rebalance.Destination {
	to := &rebalance.Destination{
		Machine:  m.ID,
		Slowdown: m.slowdown(),
		Load:     m.load(m.available.Minus(j.Need).CPU),
		ViewAge:  s.viewAge(m, now),
	}
	if !m.hasImage(j) {
		to.Fetch, _ = s.fetchRates.fetchTime(j, m)
	}
	return to
}

// startMove begins a move: it requests a held lease at the destination, which reserves capacity but starts no task.
func (s *Scheduler) startMove(source *assignment, to *machineState, plan *rebalance.Move, now clock.Micros) {
	a := newAssignment(source.job, source.id.N, to, now)
	a.held = true
	to.addAssignment(a)
	to.available = to.available.Minus(a.job.Need)
	to.extendList(a)
	s.reindex(to)
	s.moves.add(&move{plan, source, a})
	s.counters.MovesStarted++
	message := a.message()
	message.Hold = rebalance.HeldLeaseTTL
	session := s.sessions[to.leader]
	session.pending.Asks = append(session.pending.Asks, message)
}

// applyMoveAction carries out the action that an event of a move has returned, and removes the move if it has ended.
func (s *Scheduler) applyMoveAction(mv *move, action rebalance.Action) {
	if mv.Ended() {
		s.moves.remove(mv)
	}
	switch action {
	case rebalance.StopSource:
		s.requestStop(mv.source, mv.source.job.StopGraceS())
	case rebalance.StartDestination:
		a := mv.destination
		a.held = false
		a.job.assignments[a.id.N] = a
		if m := s.machines[a.machine]; m != nil {
			session := s.sessions[m.leader]
			session.pending.Starts = append(session.pending.Starts, peer.StartTask{ID: a.id, Machine: a.machine, Team: a.job.team.Name})
		}
		s.counters.MovesCompleted++
	case rebalance.ReleaseDestination:
		mv.destination.orphaned = true
		if !s.retractAssignment(mv.destination) {
			s.requestStop(mv.destination, 0)
		}
	}
}

// handleMoveAssignmentGone tells the move to which an assignment belongs, if there is one, that the assignment is gone. current
// says whether it was the task's current assignment. started reports that the task now starts at the destination and must not
// be queued; that requires that the assignment was the current one.
func (s *Scheduler) handleMoveAssignmentGone(a *assignment, current bool) (started bool) {
	if mv := s.moves.byDestination[a]; mv != nil {
		s.applyMoveAction(mv, mv.DestinationLost())
		return false
	}
	mv := s.moves.bySource[a]
	if mv == nil {
		return false
	}
	j := a.job
	wanted := current && !j.isDone(a.id.N) && !j.cancelling && !j.finalWriteInFlight && j.isActive() && s.teams[j.team.Name] == j.team
	action := mv.SourceGone(wanted)
	s.applyMoveAction(mv, action)
	return action == rebalance.StartDestination
}

// abandonMoves abandons the moves of a team's job, or of the whole team if job is empty.
func (s *Scheduler) abandonMoves(tm *team, job string) {
	for _, mv := range s.moves.inProgress() {
		if j := mv.source.job; j.team == tm && (job == "" || j.ID == job) {
			s.applyMoveAction(mv, mv.Abandon())
		}
	}
}
