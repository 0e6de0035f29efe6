package scheduler

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/loop"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

const (
	// maxPollWait is how long a partition leader may hold a poll open while nothing changes.
	maxPollWait = clock.Second
	// unreachablePause is the pause before the next call to a controller that did not answer.
	unreachablePause = 150 * time.Millisecond
	// newProcessPause is the pause before the next batch to a controller whose process has been replaced. Batches are of no
	// use until the next poll has shown the new process.
	newProcessPause = 50 * time.Millisecond
	// summaryInterval is the time between two summaries in the log.
	summaryInterval = 10 * time.Second
	// scheduleTick is the interval at which scheduleLoop runs without being woken, since deadlines pass without an event.
	scheduleTick = 200 * time.Millisecond
	// writeTick is the interval at which writeLoop runs without being woken, since retries become due without an event.
	writeTick = 500 * time.Millisecond
)

// Run schedules until ctx ends. It returns after all goroutines that the server has started have returned.
func (s *Server) Run(ctx context.Context) error {
	defer s.lifetime.wait()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		s.lifetime.end()
		return nil
	})
	for host := range s.partitions {
		g.Go(func() error { return s.pollLoop(ctx, host) })
		g.Go(func() error { return s.sendLoop(ctx, host) })
	}
	g.Go(func() error { return s.scheduleLoop(ctx) })
	g.Go(func() error { return s.writeLoop(ctx) })
	g.Go(func() error { return s.watermarks.run(ctx) })
	g.Go(func() error { return s.summaryLoop(ctx) })
	return g.Wait()
}

// pollLoop polls a partition leader until ctx ends, which keeps the cached state of its machines up to date.
func (s *Server) pollLoop(ctx context.Context, host string) error {
	for ctx.Err() == nil {
		if err := s.poll(host, maxPollWait); err != nil {
			s.mu.Lock()
			s.scheduler.MarkUnreachable(host)
			s.mu.Unlock()
			loop.Pause(ctx, unreachablePause)
		}
	}
	return nil
}

// poll asks a partition leader once for the machines that have changed, and applies the response. While the partition leader has
// not fenced a team's present term, NextPoll asks for all machines: the partition leader rejects assignments under lower terms
// before it responds, so the response misses no task that a former leader of the team can still start there (docs/design.md,
// "Why the rules hold", number 7).
func (s *Server) poll(host string, wait clock.Micros) error {
	s.mu.Lock()
	request := s.scheduler.NextPoll(host)
	request.Wait = wait
	if s.fairShares {
		request.Demands = s.scheduler.DemandsFor(host, s.clock.Now())
	}
	s.mu.Unlock()
	response, err := s.partitions[host].Poll(request)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	startedAt := s.clock.Now()
	s.scheduler.HandlePollResponse(host, request, &response, startedAt)
	s.pollMetrics.RecordRound((s.clock.Now() - startedAt).Duration())
	s.notifyUpdated()
	return nil
}

// notifyUpdated wakes the goroutines for which a partition leader's response may matter: waiting cancellations, scheduleLoop and
// writeLoop. The caller holds the lock.
func (s *Server) notifyUpdated() {
	s.updated.notify()
	s.scheduleWake.Notify()
	s.writeWake.Notify()
}

// sendLoop sends batches to a partition leader until ctx ends, one at a time.
func (s *Server) sendLoop(ctx context.Context, host string) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.batchWakes[host]:
		}
		for ctx.Err() == nil {
			s.mu.Lock()
			batch := s.scheduler.NextBatch(host)
			s.mu.Unlock()
			if batch == nil {
				break
			}
			s.sendBatch(ctx, host, batch)
		}
	}
}

// sendBatch sends a batch and applies the response. After a failure it pauses, since a batch sent immediately afterwards would
// fail for the same reason.
func (s *Server) sendBatch(ctx context.Context, host string, batch *peer.Batch) {
	response, err := s.partitions[host].ApplyBatch(*batch)
	if err != nil {
		s.mu.Lock()
		s.scheduler.MarkUnreachable(host)
		s.mu.Unlock()
		s.log.Debug("assignment batch unanswered", "peer", host, "error", err)
		loop.Pause(ctx, unreachablePause)
		return
	}
	s.mu.Lock()
	sameProcess := s.scheduler.HandleBatchResponse(host, batch, &response, s.clock.Now())
	s.notifyUpdated()
	s.mu.Unlock()
	if !sameProcess {
		// Messages that are to be sent again go to the new process once a poll has shown it. Without the pause this loop
		// would send them again and again until then.
		loop.Pause(ctx, newProcessPause)
	}
}

// summaryLoop logs a summary at intervals, unless no counter has changed since the last one.
func (s *Server) summaryLoop(ctx context.Context) error {
	var last Counters
	for ctx.Err() == nil {
		loop.Pause(ctx, summaryInterval)
		s.mu.Lock()
		summary := s.scheduler.Summary()
		s.mu.Unlock()
		if summary.Counters != last {
			s.logSummary(summary, last)
		}
		last = summary.Counters
	}
	return nil
}

// logSummary logs the present numbers of tasks and jobs, and by how much the counters have grown since the last summary.
func (s *Server) logSummary(now Summary, last Counters) {
	s.log.Info("scheduler summary",
		"waiting", now.Waiting, "bound", now.Assigned, "cancelling", now.CancellingJobs, "suspect", now.SuspectJobs,
		"placed", now.Placed-last.Placed, "rejected", now.Rejected-last.Rejected, "yielded", now.Yielded-last.Yielded,
		"preempted", now.Preempted-last.Preempted,
		"moves", now.MovesStarted-last.MovesStarted, "moved", now.MovesCompleted-last.MovesCompleted,
		"done", now.Done-last.Done, "stopped", now.Stopped-last.Stopped, "failed", now.Failed-last.Failed, "lost", now.Lost-last.Lost,
		"fetch_cpu_s", int((now.FetchCPUs - last.FetchCPUs).Seconds()))
}

// scheduleInterval returns the pause after a scheduling cycle, so that events which follow each other closely are handled by
// one cycle. The pause grows with the number of assigned tasks and with the duration of the last cycle, so that a controller
// that is short of CPU runs fewer cycles and decides more in each.
func scheduleInterval(assigned int, took time.Duration) time.Duration {
	const (
		shortest    = 8 * time.Millisecond
		perTask     = 20 * time.Microsecond
		longest     = 50 * time.Millisecond // unless pauseFactor requires more
		pauseFactor = 3                     // scheduling cycles take at most a quarter of the time
	)
	return max(min(shortest+time.Duration(assigned)*perTask, longest), pauseFactor*took)
}

// scheduleLoop runs a scheduling cycle when something has changed, and at least every scheduleTick unless cycles take long.
func (s *Server) scheduleLoop(ctx context.Context) error {
	tick := time.NewTicker(scheduleTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case due := <-tick.C:
			s.scheduleMetrics.RecordDelay(time.Since(due))
			s.Reconcile()
		case <-s.scheduleWake:
		}
		loop.Pause(ctx, s.schedule())
	}
}

// schedule runs one scheduling cycle, wakes sendLoop for each partition leader to which a batch is due, and returns the
// pause until the next cycle.
func (s *Server) schedule() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	startedAt := s.clock.Now()
	s.scheduler.Schedule(startedAt)
	for host, batchWake := range s.batchWakes {
		if s.scheduler.HasBatch(host, startedAt) {
			batchWake.Notify()
		}
	}
	assigned := s.scheduler.Summary().Assigned
	took := (s.clock.Now() - startedAt).Duration()
	s.scheduleMetrics.RecordRound(took)
	return scheduleInterval(assigned, took)
}

// writeLoop writes final states as soon as they are due, continues all cancellations, and writes progress at intervals.
func (s *Server) writeLoop(ctx context.Context) error {
	tick := time.NewTicker(writeTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-s.writeWake:
		}
		s.finalStates.startPendingWrites(ctx)
		s.cancellations.resume(ctx)
		s.progress.writeIfDue(ctx)
	}
}
