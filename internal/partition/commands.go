package partition

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// over tells that nothing of a task's job may run any more. For a task that
// was found, its job not being active is proof: the record was there before
// the task's start, and the replica is as new as this owner's claim. For one that was
// asked for, the replica must be as new as its record.
func (t *State) over(k *task) bool {
	if _, ok := t.cancelled[k.id.Job]; ok {
		return true
	}
	return t.jobs.Ended(k.id.Job, k.made)
}

// maxOrders keeps an answer's line below the protocol's 64 KiB.
const maxOrders = 400

// resend tells whether an order may go to the worker's own address once more.
func (k *task) resend(now clock.Micros) bool {
	return k.lastSend == 0 || now > k.lastSend+clock.Second
}

// orders collects what the worker should do now.
func (t *State) orders(m *machine, inReport bool, now clock.Micros) []wire.Order {
	tasks := m.inOrder(0)
	t.endTasksOfOverJobs(m, tasks)
	out := stops(tasks, inReport, now)
	if !m.silent && !m.gone && m.registered {
		out = t.runs(m, tasks, out, inReport, now)
	}
	if inReport {
		out = forgets(m, tasks, out)
	}
	return out
}

// endTasksOfOverJobs decides to stop what runs of jobs that are over; their ends need
// no placer's word to be forgotten.
func (t *State) endTasksOfOverJobs(m *machine, tasks []*task) {
	for _, k := range tasks {
		if !t.over(k) {
			continue
		}
		k.settled = true
		if !k.exited() && !k.stop {
			k.stop, k.grace = true, 0
			t.show(m, k)
		}
	}
}

// stops collects the stops that are due.
func stops(tasks []*task, inReport bool, now clock.Micros) []wire.Order {
	out := []wire.Order{}
	for _, k := range tasks {
		if len(out) >= maxOrders {
			return out
		}
		if !k.stop || k.exited() {
			continue
		}
		grace := k.grace
		if k.phase == wire.TaskCheckpointing && grace > 0 || !inReport && !k.resend(now) {
			continue
		}
		if !inReport {
			k.lastSend = now
		}
		out = append(out, wire.Order{Verb: wire.VerbStop, Task: wire.TaskName(k.id.Job, k.id.N), Attempt: k.id.Attempt, GraceS: &grace})
	}
	return out
}

// runs appends the starts that are due: of tasks whose worker has not shown them
// yet, as far as the worker's own room suffices.
func (t *State) runs(m *machine, tasks []*task, out []wire.Order, inReport bool, now clock.Micros) []wire.Order {
	started, _ := m.inUse()
	for _, k := range tasks {
		if len(out) >= maxOrders {
			return out
		}
		if k.seen || k.stop || k.held || k.exited() {
			continue
		}
		if !k.sent {
			if m.draining || !k.need.Fits(m.cap.Minus(started)) {
				continue
			}
			started = started.Plus(k.need)
			k.sent = true
		}
		if inReport {
			k.sentTick = m.tick
		} else if k.resend(now) {
			k.lastSend = now
		} else {
			continue
		}
		out = append(out, wire.Order{Verb: wire.VerbRun, Task: wire.TaskName(k.id.Job, k.id.N), Attempt: k.id.Attempt})
	}
	return out
}

// forgets puts the forgets that are due in front of other orders. They go only into
// answers to reports: the worker takes those in sequence, so no run that was sent in an
// earlier answer can arrive after the forget and start the attempt once more.
func forgets(m *machine, tasks []*task, others []wire.Order) []wire.Order {
	var out []wire.Order
	for _, k := range tasks {
		if len(out)+len(others) >= maxOrders {
			break
		}
		if k.exited() && k.settled && (k.risk == 0 || m.seenToken > k.risk) {
			out = append(out, wire.Order{Verb: wire.VerbForget, Task: wire.TaskName(k.id.Job, k.id.N), Attempt: k.id.Attempt})
		}
	}
	if len(out) == 0 {
		return others
	}
	return append(out, others...)
}

// NextDelivery gives what to send to a worker's own address now, nil for nothing.
// Until it is answered, its runs count as possibly still on their way.
func (t *State) NextDelivery(id string, now clock.Micros) (addr string, o *wire.Orders) {
	m := t.machines[id]
	if m == nil || m.inflight || m.gone || m.silent || m.Addr == "" || now < m.quietUntil {
		return "", nil
	}
	o = &wire.Orders{FencingToken: m.token, Incarnation: m.session, Orders: []wire.Order{}}
	if m.accounted {
		o.Orders = t.orders(m, false, now)
		if len(o.Orders) == 0 {
			return "", nil
		}
		for _, or := range o.Orders {
			if or.Verb != wire.VerbRun {
				continue
			}
			job, n, _ := wire.SplitTask(or.Task)
			m.tasks[peer.TaskID{Job: job, N: n, Attempt: or.Attempt}].risk = m.token
		}
	} else {
		if now < m.probedAt+500*clock.Millisecond {
			return "", nil
		}
		m.probedAt = now
	}
	m.inflight, m.orderTick = true, m.tick
	return m.Addr, o
}

// HandleDeliveryResponse takes the answer to /orders: the worker's report after it.
func (t *State) HandleDeliveryResponse(id string, sent *wire.Orders, r *wire.Heartbeat, now clock.Micros) {
	m := t.machines[id]
	if m == nil || !m.inflight || sent.FencingToken>>termShift != t.parts[m.part] {
		return
	}
	m.inflight = false
	for _, k := range m.tasks {
		if k.risk == sent.FencingToken {
			k.risk = 0
		}
	}
	if r.Machine != id {
		m.quietUntil = now + 5*clock.Second
		return
	}
	if m.heard && r.Incarnation == m.session && r.Tick <= m.orderTick {
		// This answer is no copy, and yet its tick is none that can follow those
		// seen: the worker has begun anew without a new session. What it was just
		// told may run there, for a lease from now at most, since its reports are
		// taken for copies and not answered. It is told nothing more.
		m.answered, m.unconfirmed = now, true
		m.quietUntil = now + t.timing.Lease.PlusDrift() + clock.Second
		t.touch(m)
		return
	}
	if !m.heard {
		if m.session != r.Incarnation {
			m.session, m.probedAt = r.Incarnation, 0 // the next try names the right one
		}
		if r.FencingToken < baseToken(t.parts[m.part]) {
			return
		}
	}
	t.absorb(m, r, false, now)
}

// HandleDeliveryTimeout notes that /orders had no answer: it may still be executed, until
// the worker shows a higher token. Orders go with reports for a while.
func (t *State) HandleDeliveryTimeout(id string, sent *wire.Orders, now clock.Micros) {
	m := t.machines[id]
	if m == nil || sent.FencingToken>>termShift != t.parts[m.part] {
		return
	}
	m.inflight = false
	m.token++
	m.quietUntil = now + 2*clock.Second
	// Reports may come from a machine that no answer and no order reaches. It
	// gets no more tasks until it shows that it has heard.
	m.unconfirmed = true
	t.touch(m)
}

// PendingDeliveries lists machines that should be sent to now, or probed. Those that want
// nothing any more are looked at again when something about them changes.
func (t *State) PendingDeliveries(now clock.Micros) []string {
	var out []string
	for id, m := range t.due {
		if m.inflight || now < m.quietUntil {
			continue
		}
		if m.silent || m.gone || m.Addr == "" || !m.wants() {
			delete(t.due, id)
			continue
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// wants tells that a machine is to be probed, or has a task whose start or stop
// its worker has not shown yet.
func (m *machine) wants() bool {
	if !m.accounted && !m.draining {
		return true
	}
	for _, k := range m.tasks {
		if !k.seen && !k.held || k.stop && !k.held && !k.exited() && k.phase != wire.TaskCheckpointing {
			return true
		}
	}
	return false
}
