package partition

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// jobEnded tells that nothing of a task's job may run any more. For a task that
// was found, its job not being active is proof: the record was there before
// the task's start, and the replica is as new as this owner's claim. For one that was
// asked for, the replica must be as new as its record.
func (s *State) jobEnded(t *task) bool {
	if _, ok := s.cancellations[t.id.Job]; ok {
		return true
	}
	return s.jobs.Ended(t.id.Job, t.jobRevision)
}

// maxCommands keeps an answer's line below the protocol's 64 KiB.
const maxCommands = 400

// mayResend tells whether an order may go to the worker's own address once more.
func (t *task) mayResend(now clock.Micros) bool {
	return t.deliveredAt == 0 || now > t.deliveredAt+clock.Second
}

// dueCommands collects what the worker should do now.
func (s *State) dueCommands(m *machine, inReport bool, now clock.Micros) []wire.Order {
	tasks := m.tasksByAge(0)
	s.stopTasksOfEndedJobs(m, tasks)
	out := stopCommands(tasks, inReport, now)
	if !m.silent && !m.gone && m.recorded {
		out = s.appendRunCommands(m, tasks, out, inReport, now)
	}
	if inReport {
		out = prependForgetCommands(m, tasks, out)
	}
	return out
}

// stopTasksOfEndedJobs decides to stop what runs of jobs that are over; their ends need
// no placer's word to be forgotten.
func (s *State) stopTasksOfEndedJobs(m *machine, tasks []*task) {
	for _, t := range tasks {
		if !s.jobEnded(t) {
			continue
		}
		t.acknowledged = true
		if !t.exited() && !t.stopping {
			t.stopping, t.stopGraceS = true, 0
			s.markTaskChanged(m, t)
		}
	}
}

// stopCommands collects the stopCommands that are due.
func stopCommands(tasks []*task, inReport bool, now clock.Micros) []wire.Order {
	out := []wire.Order{}
	for _, t := range tasks {
		if len(out) >= maxCommands {
			return out
		}
		if !t.stopping || t.exited() {
			continue
		}
		grace := t.stopGraceS
		if t.phase == wire.TaskCheckpointing && grace > 0 || !inReport && !t.mayResend(now) {
			continue
		}
		if !inReport {
			t.deliveredAt = now
		}
		out = append(out, wire.Order{Verb: wire.VerbStop, Task: wire.TaskName(t.id.Job, t.id.N), Attempt: t.id.Attempt, GraceS: &grace})
	}
	return out
}

// appendRunCommands appends the starts that are due: of tasks whose worker has not shown them
// yet, as far as the worker's own room suffices.
func (s *State) appendRunCommands(m *machine, tasks []*task, out []wire.Order, inReport bool, now clock.Micros) []wire.Order {
	started, _ := m.resourcesInUse()
	for _, t := range tasks {
		if len(out) >= maxCommands {
			return out
		}
		if t.reported || t.stopping || t.reserved || t.exited() {
			continue
		}
		if !t.sent {
			if m.draining || !t.need.Fits(m.capacity.Minus(started)) {
				continue
			}
			started = started.Plus(t.need)
			t.sent = true
		}
		if inReport {
			t.runTick = m.tick
		} else if t.mayResend(now) {
			t.deliveredAt = now
		} else {
			continue
		}
		out = append(out, wire.Order{Verb: wire.VerbRun, Task: wire.TaskName(t.id.Job, t.id.N), Attempt: t.id.Attempt})
	}
	return out
}

// prependForgetCommands puts the prependForgetCommands that are due in front of other orders. They go only into
// answers to reports: the worker takes those in sequence, so no run that was sent in an
// earlier answer can arrive after the forget and start the attempt once more.
func prependForgetCommands(m *machine, tasks []*task, others []wire.Order) []wire.Order {
	var out []wire.Order
	for _, t := range tasks {
		if len(out)+len(others) >= maxCommands {
			break
		}
		if t.exited() && t.acknowledged && (t.unansweredToken == 0 || m.shownToken > t.unansweredToken) {
			out = append(out, wire.Order{Verb: wire.VerbForget, Task: wire.TaskName(t.id.Job, t.id.N), Attempt: t.id.Attempt})
		}
	}
	if len(out) == 0 {
		return others
	}
	return append(out, others...)
}

// NextDelivery gives what to send to a worker's own address now, nil for nothing.
// Until it is answered, its runs count as possibly still on their way.
func (s *State) NextDelivery(id string, now clock.Micros) (addr string, o *wire.Orders) {
	m := s.machines[id]
	if m == nil || m.deliveryInFlight || m.gone || m.silent || m.Addr == "" || now < m.deliveryPausedUntil {
		return "", nil
	}
	o = &wire.Orders{FencingToken: m.token, Incarnation: m.incarnation, Orders: []wire.Order{}}
	if m.accounted {
		o.Orders = s.dueCommands(m, false, now)
		if len(o.Orders) == 0 {
			return "", nil
		}
		for _, or := range o.Orders {
			if or.Verb != wire.VerbRun {
				continue
			}
			job, n, _ := wire.SplitTask(or.Task)
			m.tasks[peer.TaskID{Job: job, N: n, Attempt: or.Attempt}].unansweredToken = m.token
		}
	} else {
		if now < m.probedAt+500*clock.Millisecond {
			return "", nil
		}
		m.probedAt = now
	}
	m.deliveryInFlight, m.deliveryTick = true, m.tick
	return m.Addr, o
}

// HandleDeliveryResponse takes the answer to /orders: the worker's report after it.
func (s *State) HandleDeliveryResponse(id string, sent *wire.Orders, r *wire.Heartbeat, now clock.Micros) {
	m := s.machines[id]
	if m == nil || !m.deliveryInFlight || sent.FencingToken>>termShift != s.terms[m.partition] {
		return
	}
	m.deliveryInFlight = false
	for _, t := range m.tasks {
		if t.unansweredToken == sent.FencingToken {
			t.unansweredToken = 0
		}
	}
	if r.Machine != id {
		m.deliveryPausedUntil = now + 5*clock.Second
		return
	}
	if m.contacted && r.Incarnation == m.incarnation && r.Tick <= m.deliveryTick {
		// This answer is no copy, and yet its tick is none that can follow those
		// seen: the worker has begun anew without a new session. What it was just
		// told may run there, for a lease from now at most, since its reports are
		// taken for copies and not answered. It is told nothing more.
		m.answeredAt, m.unconfirmed = now, true
		m.deliveryPausedUntil = now + s.timing.Lease.PlusDrift() + clock.Second
		s.markChanged(m)
		return
	}
	if !m.contacted {
		if m.incarnation != r.Incarnation {
			m.incarnation, m.probedAt = r.Incarnation, 0 // the next try names the right one
		}
		if r.FencingToken < firstToken(s.terms[m.partition]) {
			return
		}
	}
	s.applyHeartbeat(m, r, false, now)
}

// HandleDeliveryTimeout notes that /orders had no answer: it may still be executed, until
// the worker shows a higher token. Orders go with reports for a while.
func (s *State) HandleDeliveryTimeout(id string, sent *wire.Orders, now clock.Micros) {
	m := s.machines[id]
	if m == nil || sent.FencingToken>>termShift != s.terms[m.partition] {
		return
	}
	m.deliveryInFlight = false
	m.token++
	m.deliveryPausedUntil = now + 2*clock.Second
	// Reports may come from a machine that no answer and no order reaches. It
	// gets no more tasks until it shows that it has heard.
	m.unconfirmed = true
	s.markChanged(m)
}

// PendingDeliveries lists machines that should be sent to now, or probed. Those that want
// nothing any more are looked at again when something about them changes.
func (s *State) PendingDeliveries(now clock.Micros) []string {
	var out []string
	for id, m := range s.deliveryCandidates {
		if m.deliveryInFlight || now < m.deliveryPausedUntil {
			continue
		}
		if m.silent || m.gone || m.Addr == "" || !m.needsDelivery() {
			delete(s.deliveryCandidates, id)
			continue
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// needsDelivery tells that a machine is to be probed, or has a task whose start or stop
// its worker has not shown yet.
func (m *machine) needsDelivery() bool {
	if !m.accounted && !m.draining {
		return true
	}
	for _, t := range m.tasks {
		if !t.reported && !t.reserved || t.stopping && !t.reserved && !t.exited() && t.phase != wire.TaskCheckpointing {
			return true
		}
	}
	return false
}
