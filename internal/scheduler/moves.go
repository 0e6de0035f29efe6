package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/rebalance"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Moves has running tasks moved off machines that are to be drained.
type Moves struct {
	rebalance.Limits
	// Veto tells that the operators' script does not want a move. nil: nobody objects.
	Veto func(rebalance.Record) bool
}

// move is a move under way: the task's binding at the source, and the lease at the destination.
type move struct {
	*rebalance.Move
	source, destination *assignment
}

// moveInterval is how often moves are looked for.
const moveInterval = clock.Second

// moveTasks gives up moves that take too long and begins new ones, at times.
func (s *Scheduler) moveTasks(now clock.Micros) {
	if s.timing.Moves == nil || now < s.movesCheckedAt+moveInterval {
		return
	}
	s.movesCheckedAt = now
	for _, mv := range s.moves.underWay() {
		s.applyMoveAction(mv, mv.Expire(now))
	}
	s.moves.planner.Forget(now)
	for _, m := range s.machines {
		if reason, ok := s.drainReason(m); ok {
			s.moveTasksOff(m, reason, now)
		}
	}
}

// drainReason tells that a machine is to be drained, and why.
func (s *Scheduler) drainReason(m *machineState) (rebalance.Reason, bool) {
	switch {
	case !m.Accounted || m.Silent || !s.isCurrent(m):
		return "", false // what is known of it may be old
	case m.Noticed:
		return rebalance.SpotNotice, true
	case m.Sick && m.slow:
		return rebalance.SlowMachine, true
	}
	return "", false
}

// moveTasksOff begins moves of a machine's tasks.
func (s *Scheduler) moveTasksOff(m *machineState, reason rebalance.Reason, now clock.Micros) {
	for _, b := range m.assignmentsByAttempt() {
		j := b.job
		if b.orphaned || b.reserved || b.stopping || b.unanswered || b.phase != wire.TaskRunning || j.cancelling || j.finalWriteInFlight ||
			j.assignments[b.id.N] != b || j.team.jobs[j.ID] != j || s.moves.bySource[b] != nil {
			continue
		}
		c := s.moveCandidate(b, m, reason, now)
		if why := s.tryMove(b, c, now); why != rebalance.NotDeclined {
			s.moves.planner.Decline(j.team.Name, why)
		}
	}
}

// moveCandidate is what is known of a task that is to be moved.
func (s *Scheduler) moveCandidate(b *assignment, m *machineState, reason rebalance.Reason, now clock.Micros) *rebalance.Candidate {
	j, age := b.job, now-m.updatedAt
	c := &rebalance.Candidate{Key: rebalance.Key{Job: j.ID, N: b.id.N}, Team: j.team.Name, Machine: m.ID, Reason: reason,
		CanSave: j.CheckpointIntervalS > 0, SaveFor: clock.FromSeconds(j.CheckpointDurationS), NoticeLeft: max(0, m.NoticeLeft-age), Pace: m.knownPace(), ViewAge: s.viewAge(m, now)}
	if b.runningSince != 0 {
		c.Ran = now - b.runningSince
	}
	c.Left = max(0, clock.Micros(float64(clock.FromSeconds(j.RuntimeEstimateS))*max(c.Pace, 1))-c.Ran)
	c.Unsaved = min(clock.FromSeconds(j.CheckpointIntervalS), c.Ran) / 2
	c.Heat = m.heat(m.available.CPU)
	return c
}

// viewAge is how old what is known of a machine may be. A machine of which there is no news
// is as it was for as long as its owner answers polls, which it does at least once a second.
func (s *Scheduler) viewAge(m *machineState, now clock.Micros) clock.Micros {
	return now - max(m.updatedAt, s.sessions[m.leader].polledAt)
}

// knownPace is how long tasks take on a machine against elsewhere, 0 while too few have ended there.
func (m *machineState) knownPace() float64 {
	if m.paceSamples < minPaceSamples {
		return 0
	}
	return m.paceSum / float64(m.paceSamples)
}

// heat is the share of a machine that is in use when so much is free, times its pace. One
// that is to be taken away is hotter than any other.
func (m *machineState) heat(free int64) float64 {
	const takenAway = 1000
	if m.Cap.CPU == 0 || m.Noticed {
		return takenAway
	}
	heat := 1 - float64(free)/float64(m.Cap.CPU)
	if pace := m.knownPace(); pace > 0 {
		heat *= pace
	}
	return heat
}

// tryMove begins a move of a task, or tells why it is not moved.
func (s *Scheduler) tryMove(b *assignment, c *rebalance.Candidate, now clock.Micros) rebalance.DeclineReason {
	book, j := s.moves.planner, b.job
	if why := book.Evaluate(c, now); why != rebalance.NotDeclined {
		return why
	}
	// The task counts twice until it is gone from the source.
	if !withinQuota(j.team.used.Plus(j.team.unaccountedCapacity).Plus(j.Need), j.team.Limit) {
		return rebalance.TeamAtLimit
	}
	why := rebalance.NoRoom
	for _, to := range s.machinesForMove(j, b.machine, now) {
		dest := s.moveDestination(j, to, now)
		gain, cost, declined := book.Weigh(c, dest, now)
		if why = declined; declined != rebalance.NotDeclined {
			continue
		}
		proposal := rebalance.Record{Team: c.Team, From: c.Machine, To: to.ID, Key: c.Key, Reason: c.Reason, Gain: gain, Cost: cost, Began: now}
		if veto := s.timing.Moves.Veto; veto != nil && veto(proposal) {
			return rebalance.Vetoed
		}
		s.startMove(b, to, book.StartMove(c, dest, gain, cost, now), now)
		return rebalance.NotDeclined
	}
	return why
}

// machinesForMove lists machines with room for a task of a job, those with its image first.
func (s *Scheduler) machinesForMove(j *job, from string, now clock.Micros) (out []*machineState) {
	for _, m := range s.findCapacityAnyImage(j, now) {
		// An owner of an earlier version would start the task at once.
		if m.ID != from && s.sessions[m.leader].supportsReservations && !s.moves.hasDestination(m.ID) {
			out = append(out, m)
		}
	}
	return out
}

func (s *Scheduler) moveDestination(j *job, m *machineState, now clock.Micros) *rebalance.Destination {
	to := &rebalance.Destination{Machine: m.ID, Pace: m.knownPace(), Heat: m.heat(m.available.Minus(j.Need).CPU), ViewAge: s.viewAge(m, now)}
	if !slices.Contains(m.Images, j.Image) {
		to.Fetch, _ = s.fetchTime(j, m)
	}
	return to
}

// startMove asks for a lease at the destination, which holds room and starts nothing.
func (s *Scheduler) startMove(source *assignment, to *machineState, m *rebalance.Move, now clock.Micros) {
	j := source.job
	j.team.attemptCounter++
	b := &assignment{id: peer.TaskID{Job: j.ID, N: source.id.N, Attempt: j.team.term<<32 | j.team.attemptCounter}, job: j, machine: to.ID,
		zone: to.Zone, term: to.Term, unanswered: true, reserved: true, instance: to.instance, assignedAt: now}
	s.addAssignment(b, to)
	to.available = to.available.Minus(j.Need)
	s.reindex(to)
	mv := &move{m, source, b}
	s.moves.bySource[source], s.moves.byDestination[b] = mv, mv
	s.counters.Moves++
	o := s.sessions[to.leader]
	o.pending.Asks = append(o.pending.Asks, peer.Assignment{ID: b.id, Made: j.ModRevision, Team: j.team.Name, Rank: j.PriorityLevel, Need: j.Need, Image: j.Image,
		ImageGB: j.ImageGB, Machine: to.ID, Term: to.Term, Covered: j.withinGuarantee, Hold: rebalance.HoldFor, Stage: int(j.stage) + 1})
}

// applyMoveAction carries out what a move asks for.
func (s *Scheduler) applyMoveAction(mv *move, a rebalance.Action) {
	if mv.Ended() {
		delete(s.moves.bySource, mv.source)
		delete(s.moves.byDestination, mv.destination)
	}
	switch a {
	case rebalance.StopSource:
		s.requestStop(mv.source, mv.source.job.StopGraceS())
	case rebalance.StartDestination:
		b := mv.destination
		b.reserved = false
		b.job.assignments[b.id.N] = b
		if m := s.machines[b.machine]; m != nil {
			o := s.sessions[m.leader]
			o.pending.Starts = append(o.pending.Starts, peer.StartTask{ID: b.id, Machine: b.machine, Team: b.job.team.Name})
		}
		s.counters.Moved++
	case rebalance.ReleaseDestination:
		mv.destination.orphaned = true
		if !s.retractAssignment(mv.destination) {
			s.requestStop(mv.destination, 0)
		}
	}
}

// retractAssignment takes back an ask that was not sent yet.
func (s *Scheduler) retractAssignment(b *assignment) (done bool) {
	m := s.machines[b.machine]
	if m == nil || !b.unanswered {
		return false
	}
	o := s.sessions[m.leader]
	before := len(o.pending.Asks)
	o.pending.Asks = slices.DeleteFunc(o.pending.Asks, func(a peer.Assignment) bool { return a.ID == b.id })
	if len(o.pending.Asks) == before {
		return false
	}
	s.releaseAssignment(b)
	s.recomputeAvailable(m)
	return true
}

// handleMoveAssignmentGone tells a move, if there is one, that a binding is gone. started tells that the task
// goes on at the destination and need not be placed. It can only if the binding was the task's
// current one.
func (s *Scheduler) handleMoveAssignmentGone(b *assignment, current bool) (started bool) {
	if mv := s.moves.byDestination[b]; mv != nil {
		s.applyMoveAction(mv, mv.DestinationLost())
		return false
	}
	mv := s.moves.bySource[b]
	if mv == nil {
		return false
	}
	j := b.job
	a := mv.SourceGone(current && !j.isDone(b.id.N) && !j.cancelling && !j.finalWriteInFlight && j.team.jobs[j.ID] == j && s.teams[j.team.Name] == j.team)
	s.applyMoveAction(mv, a)
	return a == rebalance.StartDestination
}

// abandonMoves gives up the moves of a job, or of a whole team where no job is named.
func (s *Scheduler) abandonMoves(tm *team, job string) {
	for _, mv := range s.moves.underWay() {
		if j := mv.source.job; j.team == tm && (job == "" || j.ID == job) {
			s.applyMoveAction(mv, mv.Abandon())
		}
	}
}

// moves are those under way, by both of their bindings.
type moves struct {
	planner       *rebalance.Planner
	bySource      map[*assignment]*move
	byDestination map[*assignment]*move
}

func newMoves(m *Moves) moves {
	out := moves{bySource: map[*assignment]*move{}, byDestination: map[*assignment]*move{}}
	if m != nil {
		out.planner = rebalance.NewPlanner(m.Limits)
	}
	return out
}

// underWay lists the moves in the order in which they began.
func (m *moves) underWay() []*move {
	out := make([]*move, 0, len(m.bySource))
	for _, mv := range m.bySource {
		out = append(out, mv)
	}
	slices.SortFunc(out, func(a, b *move) int { return int(a.destination.id.Attempt) - int(b.destination.id.Attempt) })
	return out
}

// hasDestination tells that a move hasDestination a machine is under way.
func (m *moves) hasDestination(machine string) bool {
	for b := range m.byDestination {
		if b.machine == machine {
			return true
		}
	}
	return false
}
