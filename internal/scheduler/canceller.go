package scheduler

import (
	"context"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// cancelTimeout is how long a request waits for its cancellation before its user is asked to retry.
	cancelTimeout = 1500 * time.Millisecond
	// cancelRetryInterval is the pause after a failed write of a cancelled job's final state. Most writes fail because a
	// leadership has changed and the replica does not show the change yet.
	cancelRetryInterval = 200 * clock.Millisecond
)

// canceller carries out cancellations: it has the Scheduler send them to the partition leaders, waits until all have
// acknowledged, and writes the final state on the condition that no partition's leadership has changed. Jobs of which no task
// can have been assigned need neither the acknowledgements nor that condition.
// Scheduler.CancellationConfirmed decides when it may write. A job that is reported as cancelled therefore starts no task
// afterwards (docs/design.md, "Why the rules hold", number 11).
type canceller struct {
	*core
	store           Store
	partitionDuties []string // by partition
	finalStates     *finalStateWriter
	lifetime        *lifetime
}

// cancelStep is the result of one call of canceller.advance.
type cancelStep struct {
	response *peer.JobResponse // the answer to the user; nil: the cancellation is not finished
	// write tells the caller to write the final state of job on the condition of the leaderships in partitions.
	write      bool
	job        *job
	partitions []PartitionLeadership
	updated    <-chan struct{} // closed when another call of advance may give another result
}

// CancelJob cancels a job: no task of it is assigned from now on. Once it is certain that no task can start on any machine the
// final state is written, and only then is the job reported as cancelled. When that takes longer than cancelTimeout the user is
// asked to retry.
func (s *Server) CancelJob(request peer.JobRequest) peer.JobResponse {
	return s.cancellations.cancel(request)
}

// retryResponse asks the user to repeat the request.
var retryResponse = peer.JobResponse{Known: true, Found: true, Retry: true}

func (c *canceller) cancel(request peer.JobRequest) peer.JobResponse {
	if _, ok := c.elections.Leading(TeamDuty(request.Team)); !ok {
		return peer.JobResponse{}
	}
	ctx, cancel := c.lifetime.newContext()
	defer cancel()
	deadline := time.NewTimer(cancelTimeout)
	defer deadline.Stop()
	for {
		step := c.advance(request)
		if step.response != nil {
			return *step.response
		}
		c.scheduleWake.Notify()
		if step.write && c.writeFinalState(ctx, step.job, step.partitions) == nil {
			continue
		}
		select {
		case <-step.updated:
		case <-deadline.C:
			return retryResponse
		case <-ctx.Done():
			return retryResponse
		}
	}
}

// advance begins a cancellation, or continues it as far as it gets without waiting.
func (c *canceller) advance(request peer.JobRequest) cancelStep {
	partitions := c.partitionLeaderships()
	c.mu.Lock()
	defer c.mu.Unlock()
	// The final state is looked up under the lock. Otherwise it could be written and the job dropped between this lookup and
	// the next one, and the user would be asked to retry although the job is cancelled.
	if final, ok := c.jobs.Final(request.ID); ok {
		return cancelStep{response: &peer.JobResponse{Known: true, Found: true, State: final.State(request.ID)}}
	}
	tm := c.scheduler.teams[request.Team]
	if tm == nil || tm.jobs[request.ID] == nil {
		return cancelStep{response: &peer.JobResponse{Known: tm != nil}}
	}
	j := tm.jobs[request.ID]
	if j.finalWriteInFlight && !j.cancelling {
		return cancelStep{response: &retryResponse} // the final state that marks the job as done is being written
	}
	c.scheduler.CancelJob(request.Team, request.ID)
	return cancelStep{job: j, partitions: partitions, write: c.beginFinalWrite(j, partitions), updated: c.updated.next()}
}

// resume continues all cancellations, also those whose users were asked to retry. A user who retries then finds the final state
// written, and no cancelled job stays active for ever.
func (c *canceller) resume(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var partitions []PartitionLeadership
	for _, tm := range c.scheduler.teams {
		for _, j := range tm.jobs {
			if !j.cancelling {
				continue
			}
			if partitions == nil {
				partitions = c.partitionLeaderships()
			}
			if c.beginFinalWrite(j, partitions) {
				c.lifetime.start(func() { _ = c.writeFinalState(ctx, j, partitions) }) // after an error a later call tries again
			}
		}
	}
}

// beginFinalWrite reports whether the caller must write the final state of a cancelled job now, and in that case marks the
// write as in flight. The caller holds the lock.
func (c *canceller) beginFinalWrite(j *job, partitions []PartitionLeadership) bool {
	if j.finalWriteInFlight || c.clock.Now() < j.finalWriteAfter || !c.scheduler.CancellationConfirmed(j, partitions) {
		return false
	}
	j.finalWriteInFlight = true
	return true
}

// writeFinalState writes the final state of a cancelled job after beginFinalWrite has returned true. If a task of the job may
// have been assigned, the condition is that no partition's leadership has changed.
func (c *canceller) writeFinalState(ctx context.Context, j *job, partitions []PartitionLeadership) error {
	write := &finalWrite{store: c.store, jobs: []*job{j}, phase: wire.Cancelled}
	c.mu.Lock()
	if j.mayHaveBeenAssigned() {
		for _, p := range partitions {
			write.conditions = append(write.conditions, wire.Condition{Key: p.Key, ModRevision: p.ModRevision})
		}
	}
	c.mu.Unlock()
	err := c.finalStates.write(ctx, write)
	if err == nil {
		c.log.Info("job cancellation stored", "job", j.ID, "team_term", j.team.term,
			"conditions", len(write.conditions), "partition_terms", termsOf(partitions))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j.finalWriteInFlight = false
	if err != nil {
		j.finalWriteAfter = c.clock.Now() + cancelRetryInterval
	}
	c.updated.notify()
	return err
}

// termsOf returns the terms of leaderships, in their order.
func termsOf(partitions []PartitionLeadership) []uint64 {
	terms := make([]uint64, len(partitions))
	for i, p := range partitions {
		terms[i] = p.Term
	}
	return terms
}

// partitionLeaderships returns the leadership of each partition as the replica shows it.
func (c *canceller) partitionLeaderships() []PartitionLeadership {
	out := make([]PartitionLeadership, 0, len(c.partitionDuties))
	for i, duty := range c.partitionDuties {
		leadership, live := c.elections.CurrentLeadership(duty)
		p := PartitionLeadership{Partition: i, Key: kvstore.LeaderPrefix + duty, ModRevision: leadership.ModRevision, Term: leadership.Term}
		if live {
			p.Host = leadership.Leader
		}
		out = append(out, p)
	}
	return out
}
