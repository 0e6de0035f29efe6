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
	// maxPollWait is how long a partition leader may hold a poll while nothing changes.
	maxPollWait = clock.Second
	// unreachablePause spaces calls to a controller that doesn't answer.
	unreachablePause = 150 * time.Millisecond
	// newInstancePause spaces batches to a controller whose new process no poll has shown yet: only the next poll can help.
	newInstancePause = 50 * time.Millisecond
	// summaryInterval spaces the summaries in the log.
	summaryInterval = 10 * time.Second
	// scheduleTick is the longest time between two decisions, since deadlines pass without an event.
	scheduleTick = 200 * time.Millisecond
	// writeTick is the longest time between two looks for something to write, since retries fall due without an event.
	writeTick = 500 * time.Millisecond
)

// Run schedules until ctx ends. It returns when all goroutines that the server has started have returned.
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

// pollLoop keeps the cached machines of a partition leader up to date.
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

// poll asks a partition leader for changed machines; for all of them when a team's term is new to it, so that its answer is
// given under the fence of that term (docs/design.md, "Why the rules hold", 7).
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
	s.pollMetrics.Round((s.clock.Now() - startedAt).Duration())
	s.notifyUpdated()
	return nil
}

// notifyUpdated wakes all that a partition leader's answer may let go on. The lock is held.
func (s *Server) notifyUpdated() {
	s.updated.notify()
	s.scheduleWake.Notify()
	s.writeWake.Notify()
}

// sendLoop sends batches to a partition leader, one at a time.
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

// sendBatch sends a batch and takes its answer. It pauses where the next batch would fare no better immediately.
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
	sameInstance := s.scheduler.HandleBatchResponse(host, batch, &response, s.clock.Now())
	s.notifyUpdated()
	s.mu.Unlock()
	if !sameInstance {
		// What bears repeating goes to the new process, once a poll has shown it: not again and again until then.
		loop.Pause(ctx, newInstancePause)
	}
}

// summaryLoop logs how scheduling stands, where something has happened.
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

// logSummary logs the tasks and jobs as they are, and what has happened since the last summary.
func (s *Server) logSummary(now Summary, last Counters) {
	s.log.Info("scheduler summary",
		"waiting", now.Waiting, "bound", now.Assigned, "cancelling", now.CancellingJobs,
		"placed", now.Placed-last.Placed, "rejected", now.Rejected-last.Rejected, "yielded", now.Yielded-last.Yielded,
		"preempted", now.Preempted-last.Preempted, "moves", now.Moves-last.Moves, "moved", now.Moved-last.Moved,
		"done", now.Done-last.Done, "stopped", now.Stopped-last.Stopped, "failed", now.Failed-last.Failed, "lost", now.Lost-last.Lost,
		"fetch_cpu_s", int((now.FetchCPUs - last.FetchCPUs).Seconds()))
}

// scheduleInterval gathers what comes close together into one decision. It widens with the assigned tasks and with what the
// last decision took, so that a controller that is short of CPU decides on more at a time.
func scheduleInterval(assigned int, took time.Duration) time.Duration {
	const (
		shortest    = 8 * time.Millisecond
		perTask     = 20 * time.Microsecond
		longest     = 50 * time.Millisecond // unless decisions take long
		pauseFactor = 3                     // decisions take a quarter of the time at most
	)
	return max(min(shortest+time.Duration(assigned)*perTask, longest), pauseFactor*took)
}

// scheduleLoop decides when something has changed, and has the decisions sent.
func (s *Server) scheduleLoop(ctx context.Context) error {
	tick := time.NewTicker(scheduleTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case due := <-tick.C:
			s.scheduleMetrics.Late(time.Since(due))
			s.Reconcile()
		case <-s.scheduleWake:
		}
		loop.Pause(ctx, s.schedule())
	}
}

// schedule decides once, and gives the time until the next decision.
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
	s.scheduleMetrics.Round(took)
	return scheduleInterval(assigned, took)
}

// writeLoop writes final states as soon as they are due, goes on with cancellations, and writes progress at intervals.
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
		s.finalStates.startDue(ctx)
		s.cancellations.resume(ctx)
		s.progress.writeIfDue(ctx)
	}
}
