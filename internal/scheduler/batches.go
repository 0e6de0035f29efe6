package scheduler

import (
	"cmp"
	"math"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// removeTeam takes a lost team's words out of a round that was not sent yet.
func removeTeam(r *peer.Batch, tm *team) {
	r.Asks = slices.DeleteFunc(r.Asks, func(a peer.Assignment) bool { return a.Team == tm.Name })
	r.Stops = slices.DeleteFunc(r.Stops, func(s peer.StopTask) bool { return tm.jobs[s.ID.Job] != nil })
	r.Settles = slices.DeleteFunc(r.Settles, func(s peer.Acknowledgement) bool { return tm.jobs[s.ID.Job] != nil })
	r.Starts = slices.DeleteFunc(r.Starts, func(s peer.StartTask) bool { return s.Team == tm.Name })
	r.Cancels = slices.DeleteFunc(r.Cancels, func(c peer.CancelJob) bool { return c.Team == tm.Name })
}

// NextBatch gives the round to send to an owner now, nil for nothing. A round
// without an answer is given again as it was.
func (s *Scheduler) NextBatch(host string) *peer.Batch {
	o := s.sessions[host]
	if o.inFlight != nil && o.inFlightInstance == o.instance {
		return o.inFlight
	}
	s.abandonBatch(o)
	r := o.pending
	if o.instance == "" || r.Empty() {
		return nil
	}
	o.sequence++
	r.From, r.Seq, r.Terms = s.instance, o.sequence, s.TeamTerms()
	o.inFlight, o.inFlightInstance, o.pending, o.acknowledgementsSince = &r, o.instance, peer.Batch{}, 0
	return o.inFlight
}

// abandonBatch gives up a round whose process is gone. Its asks stay bound: that
// process may have granted and started them, and only the next owner of their
// machines can tell. What bears repeating goes to the next process; it is told of
// withdrawals when their ends are looked at.
func (s *Scheduler) abandonBatch(o *leaderSession) {
	if o.inFlight == nil {
		return
	}
	o.pending.Stops = append(o.pending.Stops, o.inFlight.Stops...)
	o.inFlight = nil
}

// acknowledgementInterval gathers settlements, for which nobody waits.
const acknowledgementInterval = 300 * clock.Millisecond

// HasBatch tells whether there is something to send to an owner now.
func (s *Scheduler) HasBatch(host string, now clock.Micros) bool {
	o := s.sessions[host]
	if o.inFlight != nil {
		return true
	}
	if len(o.pending.Settles) == 0 {
		return !o.pending.Empty()
	}
	if o.acknowledgementsSince == 0 {
		o.acknowledgementsSince = now
	}
	rest := o.pending
	rest.Settles = nil
	return !rest.Empty() || now >= o.acknowledgementsSince+acknowledgementInterval
}

// HandleBatchResponse takes the answer to a round; ok is false when another process has
// given it than the one that the round was for.
func (s *Scheduler) HandleBatchResponse(host string, r *peer.Batch, ans *peer.BatchResponse, now clock.Micros) (ok bool) {
	o := s.sessions[host]
	if o.inFlight != r {
		return true
	}
	if ans.Incarnation != o.inFlightInstance || ans.Incarnation != o.instance {
		// Another process has answered than the one that may have granted.
		s.abandonBatch(o)
		return false
	}
	o.inFlight = nil
	s.setReachable(host, true)
	for i, a := range r.Asks {
		m := s.machines[a.Machine]
		if m == nil {
			continue
		}
		b := m.assignments[a.ID]
		if b == nil {
			continue
		}
		no := i >= len(ans.Refused) || i >= len(ans.Versions) || ans.Refused[i]
		if mv := s.moves.byDestination[b]; mv != nil && no {
			s.applyMoveAction(mv, mv.Refused())
		}
		if i < len(ans.Yielded) && ans.Yielded[i] {
			s.counters.Yielded++
			s.releaseAssignment(b)
			s.recomputeAvailable(m)
			b.job.team.recordYielding(host, b.job.PriorityLevel, now)
			continue
		}
		if no {
			s.counters.Refused++
			s.releaseAssignment(b)
			// What made the owner refuse is news on its way; until it is here the machine is kept from.
			m.rejectedAt, m.rejected = now, true
			s.recomputeAvailable(m)
			continue
		}
		b.unanswered, b.instance, b.viewVersion = false, ans.Incarnation, ans.Versions[i]
		delete(b.job.team.yielding, host)
		if mv := s.moves.byDestination[b]; mv != nil {
			s.applyMoveAction(mv, mv.Granted())
		}
		if m.Accounted && m.instance == ans.Incarnation {
			// A poll may have shown the machine already as it was after the
			// grant, with the task gone again: nothing newer would come to release it.
			s.releaseIfGone(b, m)
		}
		s.recomputeAvailable(m)
	}
	for _, c := range r.Cancels {
		tm := s.teams[c.Team]
		if tm == nil || tm.term != r.Terms[c.Team] {
			continue // taken for a former term, which counts for nothing in this one
		}
		if j := tm.jobs[c.Job]; j != nil && j.cancelling {
			j.cancelAcknowledged[ans.Incarnation] = true
		}
	}
	return true
}

// Status tells what a job's user may be told.
func (s *Scheduler) Status(teamName, id string) peer.JobResponse {
	tm := s.teams[teamName]
	if tm == nil {
		return peer.JobResponse{}
	}
	j := tm.jobs[id]
	if j == nil {
		return peer.JobResponse{Known: true}
	}
	if j.finalStateUncertain {
		return peer.JobResponse{Known: true, Found: true, Retry: true}
	}
	state := wire.JobState{ID: id, Phase: wire.Pending, Done: j.doneCount}
	for _, b := range j.assignments {
		if b.phase == wire.TaskRunning || b.phase == wire.TaskCheckpointing {
			state.Running++
		}
	}
	if state.Running > 0 || state.Done > 0 {
		state.Phase = wire.Running
	}
	return peer.JobResponse{Known: true, Found: true, State: state}
}

// CompletedJobs lists a team's jobs whose tasks are all done and whose end is to be
// written, those that were accepted first in front.
func (s *Scheduler) CompletedJobs(tm *team) (out []*job) {
	for _, j := range tm.jobs {
		if j.doneCount == j.Tasks && !j.finalWriteInFlight && !j.cancelling {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
	return out
}

// eachPlaceableJob visits the jobs that have tasks to place, those whose turn it is first, each
// with how many tasks its team's limit leaves room for.
func (s *Scheduler) eachPlaceableJob(now clock.Micros, visit func(j *job, tasks int)) {
	list := s.schedulingOrder(now)
	for _, tm := range s.teams {
		room := resources.Amounts{CPU: math.MaxInt64 / 4, GPU: math.MaxInt64 / 4}
		if tm.Limit.CPU > 0 {
			room.CPU = tm.Limit.CPU - tm.used.CPU
		}
		if tm.Limit.GPU > 0 {
			room.GPU = tm.Limit.GPU - tm.used.GPU
		}
		for _, j := range list {
			if j.team != tm || j.consecutiveErrors > 6 {
				continue
			}
			n := j.waiting()
			if j.Need.CPU > 0 {
				n = min(n, int(room.CPU/j.Need.CPU))
			}
			if j.Need.GPU > 0 {
				n = min(n, int(room.GPU/j.Need.GPU))
			}
			if n <= 0 {
				continue
			}
			room = room.Minus(j.Need.Times(int64(n)))
			visit(j, n)
		}
	}
}

// Demands lists what waits, for the fleet.
func (s *Scheduler) Demands(now clock.Micros) (out []peer.Demand) {
	s.eachPlaceableJob(now, func(j *job, tasks int) {
		dm := peer.Demand{Need: j.Need, Types: j.Types, Zone: j.Zone, Spot: j.Spot, Rank: j.PriorityLevel, Waiting: tasks,
			RunFor: clock.FromSeconds(j.RuntimeEstimateS), Stage: int(j.stage) + 1}
		if start := s.latestStart(j); j.DeadlineS != nil && !j.missesDeadline(now) {
			dm.Slack = max(clock.Second, j.deadline()-now-dm.RunFor)
		} else if j.DeadlineS == nil && start != math.MaxInt64 && now < start {
			dm.Slack = start - now // to be finished within a time is as good as a deadline
		}
		out = append(out, dm)
	})
	return out
}

// MachineViews appends the mirror of all machines, for the fleet. An idle machine sends
// no news of itself, so its idle time is what it was then and what has passed since.
func (s *Scheduler) MachineViews(to []peer.MachineView, now clock.Micros) []peer.MachineView {
	to = slices.Grow(to, len(s.machines))
	for _, m := range s.machines {
		if o := s.sessions[m.leader]; o.partitionTerms[m.Part] == m.Term {
			v := m.MachineView
			v.Free = m.available
			if v.Count == 0 && len(m.assignments) == 0 {
				v.Idle += now - m.updatedAt
			} else {
				v.Idle = 0
			}
			to = append(to, v)
		}
	}
	return to
}
