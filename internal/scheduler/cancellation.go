package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// This file has the decisions of a cancellation; canceller does the I/O.
//
// If a task of a cancelled job may have been assigned (mayHaveBeenAssigned), the job's final state is written only when each
// partition is led by a process that has the cancellation in memory, or has no leader, and no task of the job can start any more.
// Each partition's leadership is a condition of the transaction. A partition leader that handles the job's workers afterwards is
// therefore one of these processes, or acquired its partition later and found the final state in its replica. Without this rule,
// a partition leader whose replica is behind the key-value store could still let a task of the cancelled job start
// (docs/design.md, "Why the rules hold", number 11).

// PartitionLeadership is the leadership of a partition as this controller's replica shows it.
type PartitionLeadership struct {
	Partition   int
	Key         string
	ModRevision uint64
	Term        uint64
	Host        string // controller that leads; empty when the incarnation that the leadership names is no longer registered
}

// MaxPartitions returns how many partitions there may be, 1000 at most, when a transaction takes up to txnOps operations and four
// times as many conditions. The final state of a cancelled job is written in one transaction with a condition for each partition's
// leadership, one for the team's leadership and one for the job's record.
func MaxPartitions(txnOps int) int { return max(1, min(4*txnOps-2, 1000)) }

// CancelJob begins the cancellation of a job: the scheduler starts none of its tasks any more, and the next batch to each
// partition leader carries the cancellation. found is false when the job is not active here. A repeated call changes nothing.
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
	for _, session := range s.sessions {
		s.dropPendingAssignments(session, id)
		session.requestCancel(j)
	}
	return true
}

// dropPendingAssignments removes a job's assignments, and starts on its held leases, from the messages that have not been sent.
func (s *Scheduler) dropPendingAssignments(session *leaderSession, jobID string) {
	pending := &session.pending
	pending.Starts = slices.DeleteFunc(pending.Starts, func(start peer.StartTask) bool { return start.ID.Job == jobID })
	pending.Asks = slices.DeleteFunc(pending.Asks, func(a peer.Assignment) bool {
		if a.ID.Job != jobID {
			return false
		}
		if m := s.machines[a.Machine]; m != nil && m.assignments[a.ID] != nil {
			s.releaseAssignment(m.assignments[a.ID])
			s.recomputeAvailable(m)
		}
		return true
	})
}

// requestCancel queues a job's cancellation for the present process of a partition leader, unless it is queued or in flight to
// that process already.
func (l *leaderSession) requestCancel(j *job) {
	c := peer.CancelJob{Job: j.ID, Team: j.Team}
	inFlight := l.inFlight != nil && l.inFlightProcess == l.processID && slices.Contains(l.inFlight.Cancels, c)
	if !inFlight && !slices.Contains(l.pending.Cancels, c) {
		l.pending.Cancels = append(l.pending.Cancels, c)
	}
}

// mayHaveBeenAssigned reports whether this or a former leader of the team may have assigned a task of the job to any machine. If
// neither has, no task can start without a new assignment by this scheduler, and the cancellation needs no acknowledgements.
func (j *job) mayHaveBeenAssigned() bool { return j.assignedHere || j.assignedByFormer > 0 }

// CancellationConfirmed reports whether the final state of a cancelled job may be written on the condition of these
// leaderships: the present process of each leader has the cancellation in memory, and no task of the job can start any more.
// It queues the cancellation for processes that have not acknowledged it. A final state that was written earlier could be
// reported to the user while a partition leader still starts a task of the job (docs/design.md, "Why the rules hold", number 11).
func (s *Scheduler) CancellationConfirmed(j *job, partitions []PartitionLeadership) bool {
	if !j.mayHaveBeenAssigned() {
		return j.cancelling
	}
	confirmed := j.cancelling && !j.mayStillStart()
	for _, partition := range partitions {
		if partition.Host == "" {
			// The partition's last leader never acts on it again. The next leader changes this leadership when it acquires the
			// partition: either the final state's condition then fails, or that leader finds the final state in its replica.
			continue
		}
		session := s.sessions[partition.Host]
		if session == nil {
			return false
		}
		if !j.cancelAcknowledged[session.processID] {
			// This may be a new process of the controller: it does not know what an earlier process has acknowledged.
			session.requestCancel(j)
			confirmed = false
		} else if session.partitionTerms[partition.Partition] != partition.Term {
			confirmed = false // the process has not reported that it leads the partition under this leadership's term
		}
	}
	return confirmed
}

// mayStillStart reports whether some task of a job may be about to start: its run command is on the way to the worker, it waits
// for its image, or a former leader of the team may have assigned it to a machine that is not accounted for.
func (j *job) mayStillStart() bool {
	notRunning := 0
	for _, assigned := range j.tasksByZone {
		notRunning += assigned
	}
	for _, a := range j.assignments {
		if a.phase == wire.TaskRunning || a.phase == wire.TaskCheckpointing {
			notRunning--
		}
	}
	return notRunning > 0 || j.assignedByFormer > 0 && len(j.team.unaccounted) > 0
}
