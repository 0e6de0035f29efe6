package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A withdrawal becomes durable while every partition is either held by a process
// that has the withdrawal in memory, under the very claim that the transaction
// names, or held by nobody. So whoever answers the job's workers afterwards
// has heard of it, or has taken its partition later and found it in its replica;
// and it need not have reached the state service since.

// PartitionLeadership is the claim of a partition as the placer's replica shows it.
type PartitionLeadership struct {
	Partition   int
	Key         string
	ModRevision uint64
	Term        uint64
	Host        string // of the holder; empty when that is not registered any more
}

// MaxPartitions is how many partitions there may be where a transaction takes so many
// changes, and four times as many conditions: the end of a withdrawn job is written
// on the condition of all their claims, of its team's and of its own record.
func MaxPartitions(txnOps int) int { return max(1, min(4*txnOps-2, 1000)) }

// CancelJob starts the end of a job: nothing of it starts any more, and every owner
// is to be told. found is false when the job is not active here.
func (s *Scheduler) CancelJob(teamName, id string) (found bool) {
	tm := s.teams[teamName]
	if tm == nil || tm.jobs[id] == nil {
		return false
	}
	j := tm.jobs[id]
	if j.cancelling {
		return true
	}
	j.cancelling, j.cancelAcknowledged = true, map[string]bool{}
	s.abandonMoves(tm, id)
	for _, o := range s.sessions {
		o.pending.Starts = slices.DeleteFunc(o.pending.Starts, func(s peer.StartTask) bool { return s.ID.Job == id })
		o.pending.Asks = slices.DeleteFunc(o.pending.Asks, func(a peer.Assignment) bool {
			if a.ID.Job != id {
				return false
			}
			if m := s.machines[a.Machine]; m != nil && m.assignments[a.ID] != nil {
				s.releaseAssignment(m.assignments[a.ID])
				s.recomputeAvailable(m)
			}
			return true
		})
		s.requestCancel(o, j)
	}
	return true
}

// requestCancel has the present process of an owner told of a job's withdrawal, once.
func (s *Scheduler) requestCancel(o *leaderSession, j *job) {
	c := peer.CancelJob{Job: j.ID, Team: j.Team}
	if slices.Contains(o.pending.Cancels, c) || o.inFlight != nil && o.inFlightInstance == o.instance && slices.Contains(o.inFlight.Cancels, c) {
		return
	}
	o.pending.Cancels = append(o.pending.Cancels, c)
}

// mayHaveBeenOffered tells that a task of a job may ever have been asked for, of any owner. Where
// none was, only this placer could start one, and the end needs nobody else.
func (j *job) mayHaveBeenOffered() bool { return j.offeredHere || j.offeredByFormer > 0 }

// CancellationConfirmed tells whether the end of a withdrawn job may be written on the condition of
// these claims: the present process of each holder has the withdrawal in memory, and
// nothing of the job can start any more. Processes that have not been told are told.
func (s *Scheduler) CancellationConfirmed(j *job, parts []PartitionLeadership) bool {
	if !j.mayHaveBeenOffered() {
		return j.cancelling
	}
	ready := j.cancelling && !j.mayStillStart()
	for _, c := range parts {
		if c.Host == "" {
			// Its last holder never acts on it again, and whoever takes it, by a change of
			// this claim, finds the end in its replica.
			continue
		}
		o := s.sessions[c.Host]
		if o == nil {
			return false
		}
		if !j.cancelAcknowledged[o.instance] {
			// Perhaps a new process of the same host: it knows nothing of what an
			// earlier one has taken.
			s.requestCancel(o, j)
			ready = false
		} else if o.partitionTerms[c.Partition] != c.Term {
			ready = false // that process has not said that it holds the partition under this claim
		}
	}
	return ready
}

// mayStillStart tells that some task of a job may be about to start: its start is on
// the way, its image is not there yet, or nothing is known of a machine on which a former
// placer may have put one.
func (j *job) mayStillStart() bool {
	n := 0
	for _, k := range j.tasksByZone {
		n += k
	}
	for _, b := range j.assignments {
		if b.phase == wire.TaskRunning || b.phase == wire.TaskCheckpointing {
			n--
		}
	}
	return n > 0 || j.offeredByFormer > 0 && len(j.team.unaccounted) > 0
}

// cancelWait bounds how long a withdrawal is tried before its user is told to come back.
const cancelWait = 1500 * time.Millisecond

// cancelRetryInterval is how long the end of a withdrawn job that was refused waits: most often a
// claim has moved, and the replica is about to show it.
const cancelRetryInterval = 200 * clock.Millisecond

// CancelJob ends a job: no task of it starts from now on; once that is certain of
// every machine, the end is written, and only then told.
func (s *Server) CancelJob(q peer.JobRequest) peer.JobResponse {
	retry := peer.JobResponse{Known: true, Found: true, Retry: true}
	if _, ok := s.elections.Leading(Duty(q.Team)); !ok {
		return peer.JobResponse{}
	}
	deadline := time.NewTimer(cancelWait)
	defer deadline.Stop()
	for {
		parts := s.partitionLeaderships()
		s.mu.Lock()
		// Under the lock: between two looks the end could be written and the job dropped,
		// and its user be told to come back although it is cancelled.
		if f, over := s.jobs.Final(q.ID); over {
			s.mu.Unlock()
			return peer.JobResponse{Known: true, Found: true, State: f.State(q.ID)}
		}
		ctx := s.running
		tm := s.scheduler.teams[q.Team]
		if tm == nil || tm.jobs[q.ID] == nil {
			s.mu.Unlock()
			return peer.JobResponse{Known: tm != nil}
		}
		j := tm.jobs[q.ID]
		if j.finalWriteInFlight && !j.cancelling {
			s.mu.Unlock()
			return retry // its end as done is being written
		}
		s.scheduler.CancelJob(q.Team, q.ID)
		ready := s.claimFinalCancel(j, parts)
		news := s.updated
		s.mu.Unlock()
		wake(s.wake)
		if ready && s.writeCancelled(ctx, j, parts) == nil {
			continue
		}
		select {
		case <-news:
		case <-deadline.C:
			return retry
		case <-ctx.Done():
			return retry
		}
	}
}

// resumeCancellations goes on with withdrawals whose users were told to come back: they
// find the end written, and a job of which nothing may start is not left for ever.
func (s *Server) resumeCancellations(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []PartitionLeadership
	for _, tm := range s.scheduler.teams {
		for _, j := range tm.jobs {
			if !j.cancelling {
				continue
			}
			if parts == nil {
				parts = s.partitionLeaderships()
			}
			if s.claimFinalCancel(j, parts) {
				go s.writeCancelled(ctx, j, parts) //nolint:errcheck // tried again
			}
		}
	}
}

// claimFinalCancel tells whether the end of a withdrawn job is to be written now, by the
// caller. The lock is held.
func (s *Server) claimFinalCancel(j *job, parts []PartitionLeadership) bool {
	if j.finalWriteInFlight || s.clock.Now() < j.finalWriteAfter || !s.scheduler.CancellationConfirmed(j, parts) {
		return false
	}
	j.finalWriteInFlight = true
	return true
}

// writeCancelled writes the end of a withdrawn job that is marked as finishing, on the
// condition that no partition has changed hands.
func (s *Server) writeCancelled(ctx context.Context, j *job, parts []PartitionLeadership) error {
	var when []wire.Condition
	s.mu.Lock()
	if j.mayHaveBeenOffered() {
		for _, c := range parts {
			when = append(when, wire.Condition{Key: c.Key, ModRevision: c.ModRevision})
		}
	}
	s.mu.Unlock()
	err := s.writeFinalStates(ctx, s.priorityStore, []*job{j}, wire.Cancelled, false, when)
	s.mu.Lock()
	defer s.mu.Unlock()
	j.finalWriteInFlight = false
	if err != nil {
		j.finalWriteAfter = s.clock.Now() + cancelRetryInterval
	}
	s.notifyUpdated()
	return err
}

// partitionLeaderships gives the claims of all partitions as the replica shows them.
func (s *Server) partitionLeaderships() []PartitionLeadership {
	out := make([]PartitionLeadership, 0, len(s.partitionDuties))
	for i, duty := range s.partitionDuties {
		h, live := s.elections.Current(duty)
		c := PartitionLeadership{Partition: i, Key: kvstore.LeaderPrefix + duty, ModRevision: h.ModRevision, Term: h.Term}
		if live {
			c.Host = h.Leader
		}
		out = append(out, c)
	}
	return out
}
