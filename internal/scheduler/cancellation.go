package scheduler

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// The decisions of a cancellation; canceller does the I/O.
//
// A cancellation becomes durable while every partition is either led by a process that has the cancellation in memory, under
// the very leadership that the transaction names, or has no leader. So whoever answers the job's workers afterwards knows
// of it, or has acquired its partition later and found it in its replica. It need not have reached the key-value store since
// (docs/design.md, "Why the rules hold", 11).

// PartitionLeadership is the leadership of a partition as this controller's replica shows it.
type PartitionLeadership struct {
	Partition   int
	Key         string
	ModRevision uint64
	Term        uint64
	Host        string // of the leader; empty when that is not registered any more
}

// MaxPartitions is how many partitions there may be where a transaction takes so many operations, and four times as many
// conditions: the final state of a cancelled job is written on the condition of all their leaderships, of its team's
// and of its own record.
func MaxPartitions(txnOps int) int { return max(1, min(4*txnOps-2, 1000)) }

// CancelJob begins the cancellation of a job: nothing of it starts any more, and every partition leader is to be notified. found
// is false when the job is not active here. Repeating it changes nothing.
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

// dropPendingAssignments takes a job's assignments, and starts of its held leases, out of the batch that is not sent yet.
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

// requestCancel has the present process of a partition leader notified of a job's cancellation, once.
func (l *leaderSession) requestCancel(j *job) {
	c := peer.CancelJob{Job: j.ID, Team: j.Team}
	inFlight := l.inFlight != nil && l.inFlightInstance == l.instance && slices.Contains(l.inFlight.Cancels, c)
	if !inFlight && !slices.Contains(l.pending.Cancels, c) {
		l.pending.Cancels = append(l.pending.Cancels, c)
	}
}

// mayHaveBeenOffered reports whether any task of a job may ever have been assigned, at any partition leader. Where none was, only
// this scheduler could start one, and the cancellation needs no acknowledgement.
func (j *job) mayHaveBeenOffered() bool { return j.offeredHere || j.offeredByFormer > 0 }

// CancellationConfirmed reports whether the final state of a cancelled job may be written on the condition of these leaderships:
// the present process of each leader has the cancellation in memory, and nothing of the job can start any more. Processes
// that have not acknowledged it are notified (docs/design.md, "Why the rules hold", 11).
func (s *Scheduler) CancellationConfirmed(j *job, partitions []PartitionLeadership) bool {
	if !j.mayHaveBeenOffered() {
		return j.cancelling
	}
	confirmed := j.cancelling && !j.mayStillStart()
	for _, partition := range partitions {
		if partition.Host == "" {
			// Its last leader never acts on it again, and whoever acquires it, by a change of this leadership, finds the
			// final state in its replica.
			continue
		}
		session := s.sessions[partition.Host]
		if session == nil {
			return false
		}
		if !j.cancelAcknowledged[session.instance] {
			// Perhaps a new process of the same host: it knows nothing of what an earlier one has acknowledged.
			session.requestCancel(j)
			confirmed = false
		} else if session.partitionTerms[partition.Partition] != partition.Term {
			confirmed = false // that process has not said that it leads the partition under this leadership
		}
	}
	return confirmed
}

// mayStillStart reports whether some task of a job may be about to start: its run command is on the way, it waits for its image,
// or a machine is unaccounted on which a former scheduler may have placed one.
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
	return notRunning > 0 || j.offeredByFormer > 0 && len(j.team.unaccounted) > 0
}
