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
	// cancelWait is how long a cancellation is tried before its user is asked to come back.
	cancelWait = 1500 * time.Millisecond
	// cancelRetryInterval is how long the final state of a cancelled job waits after a failed write: most often a leadership
	// has changed, and the replica is about to show it.
	cancelRetryInterval = 200 * clock.Millisecond
)

// canceller carries cancellations out: it has the decision notify partition leaders, waits until they have acknowledged, and
// writes the final state on the condition of all partitions' leaderships. It keeps the invariant of cancellations
// (docs/design.md, "Why the rules hold", 11); when one is confirmed is Scheduler.CancellationConfirmed's decision.
type canceller struct {
	*core
	store           Store
	partitionDuties []string // by partition
	finalStates     *finalStateWriter
	lifetime        *lifetime
}

// cancelStep is what a cancellation has come to.
type cancelStep struct {
	response *peer.JobResponse // the answer to the user; nil: the cancellation goes on
	// write is whether the caller is to write the job's final state on the condition of these leaderships.
	write      bool
	job        *job
	partitions []PartitionLeadership
	updated    <-chan struct{} // closed when the step may come out otherwise
}

// CancelJob cancels a job: no task of it starts from now on; once that is certain of every machine, the final state is written,
// and only then is it answered as cancelled. Where that takes long the answer is to retry.
func (s *Server) CancelJob(request peer.JobRequest) peer.JobResponse {
	return s.cancellations.cancel(request)
}

// cancelRetry is the answer to a user who is to come back.
var cancelRetry = peer.JobResponse{Known: true, Found: true, Retry: true}

func (c *canceller) cancel(request peer.JobRequest) peer.JobResponse {
	if _, ok := c.elections.Leading(Duty(request.Team)); !ok {
		return peer.JobResponse{}
	}
	ctx, cancel := c.lifetime.newContext()
	defer cancel()
	deadline := time.NewTimer(cancelWait)
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
			return cancelRetry
		case <-ctx.Done():
			return cancelRetry
		}
	}
}

// advance takes a cancellation as far as it goes without waiting.
func (c *canceller) advance(request peer.JobRequest) cancelStep {
	partitions := c.partitionLeaderships()
	c.mu.Lock()
	defer c.mu.Unlock()
	// Under the lock: otherwise the final state could be written and the job dropped in between, and its user be asked to come
	// back although it is cancelled.
	if final, ok := c.jobs.Final(request.ID); ok {
		return cancelStep{response: &peer.JobResponse{Known: true, Found: true, State: final.State(request.ID)}}
	}
	tm := c.scheduler.teams[request.Team]
	if tm == nil || tm.jobs[request.ID] == nil {
		return cancelStep{response: &peer.JobResponse{Known: tm != nil}}
	}
	j := tm.jobs[request.ID]
	if j.finalWriteInFlight && !j.cancelling {
		return cancelStep{response: &cancelRetry} // its final state as done is being written
	}
	c.scheduler.CancelJob(request.Team, request.ID)
	return cancelStep{job: j, partitions: partitions, write: c.beginFinalWrite(j, partitions), updated: c.updated.next()}
}

// resume goes on with cancellations whose users were asked to come back: they find the final state written, and a job of which
// nothing may start is not left for ever.
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
				c.lifetime.start(func() { _ = c.writeFinalState(ctx, j, partitions) }) // after an error it is tried again
			}
		}
	}
}

// beginFinalWrite reports whether the final state of a cancelled job is to be written now, by the caller, and marks it as in
// flight then. The lock is held.
func (c *canceller) beginFinalWrite(j *job, partitions []PartitionLeadership) bool {
	if j.finalWriteInFlight || c.clock.Now() < j.finalWriteAfter || !c.scheduler.CancellationConfirmed(j, partitions) {
		return false
	}
	j.finalWriteInFlight = true
	return true
}

// writeFinalState writes the final state of a cancelled job that is marked as in flight, on the condition that no partition has
// changed leaders.
func (c *canceller) writeFinalState(ctx context.Context, j *job, partitions []PartitionLeadership) error {
	write := &finalWrite{store: c.store, jobs: []*job{j}, phase: wire.Cancelled}
	c.mu.Lock()
	if j.mayHaveBeenOffered() {
		for _, p := range partitions {
			write.conditions = append(write.conditions, wire.Condition{Key: p.Key, ModRevision: p.ModRevision})
		}
	}
	c.mu.Unlock()
	err := c.finalStates.write(ctx, write)
	c.mu.Lock()
	defer c.mu.Unlock()
	j.finalWriteInFlight = false
	if err != nil {
		j.finalWriteAfter = c.clock.Now() + cancelRetryInterval
	}
	c.updated.notify()
	return err
}

// partitionLeaderships returns the leaderships of all partitions as the replica shows them.
func (c *canceller) partitionLeaderships() []PartitionLeadership {
	out := make([]PartitionLeadership, 0, len(c.partitionDuties))
	for i, duty := range c.partitionDuties {
		leadership, live := c.elections.Current(duty)
		p := PartitionLeadership{Partition: i, Key: kvstore.LeaderPrefix + duty, ModRevision: leadership.ModRevision, Term: leadership.Term}
		if live {
			p.Host = leadership.Leader
		}
		out = append(out, p)
	}
	return out
}
