package partition

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/wire"
)

// termShift is the number of bits below the partition's term in a fencing token. They hold the sequence number.
const termShift = 32

// firstToken returns the lowest fencing token of a term.
func firstToken(term uint64) uint64 { return term << termShift }

// These intervals limit deliveries to one machine. Commands still go out in the responses to its heartbeats, and the
// next heartbeat with news ends a pause.
const (
	probeInterval      = 500 * clock.Millisecond // between empty deliveries to a machine that is not accounted for
	timeoutPause       = 2 * clock.Second        // after an unanswered delivery
	wrongMachinePause  = 5 * clock.Second        // after a response of another machine: the address is wrong
	restartPauseMargin = clock.Second            // added to the worker lease after a restart without a new incarnation
)

// deliveryState holds the fencing token of one machine and the state of command deliveries to its worker's own
// address.
//
// A fencing token is (partition term, sequence number). A worker rejects commands under a lower token than the highest
// it has seen, so commands of former leaders and of abandoned deliveries change nothing. An unanswered delivery
// increments the sequence number: the worker may still execute its commands until it reports a higher token. So does
// a forget command, above the deliveries of the run command: an answered delivery may arrive once more
// (docs/design.md, "Why the rules hold", numbers 1 and 2).
type deliveryState struct {
	token         uint64       // the token of the next commands
	reportedToken uint64       // the highest that the worker has reported as seen
	inFlight      bool         // a delivery is under way; there is at most one
	sentTick      uint64       // the latest known tick of the worker when the delivery was sent
	pausedUntil   clock.Micros // no delivery before this time
	probedAt      clock.Micros // time of the last empty delivery
	// restartSuspected is set when a heartbeat looks like a copy while none that is newer comes, or looks overtaken: the worker may
	// have restarted within its incarnation. The response to the next delivery shows it.
	restartSuspected bool
	confirmToken     uint64 // the machine gets no tasks until the worker reports this token or a higher one; 0: none
}

// ready reports whether earlier deliveries allow a new one now.
func (d *deliveryState) ready(now clock.Micros) bool { return !d.inFlight && now >= d.pausedUntil }

// runMayArrive reports whether the worker may still execute a run command for a task from an unanswered delivery.
func (d *deliveryState) runMayArrive(t *task) bool {
	return t.unanswered && d.reportedToken <= t.deliveredToken
}

// raiseTokenAbove makes the token higher than that of a delivery, and reports whether it was not.
func (d *deliveryState) raiseTokenAbove(delivered uint64) (raised bool) {
	if d.token > delivered {
		return false
	}
	d.token = delivered + 1
	return true
}

// needsDelivery reports whether the machine has to be probed, since it is not accounted for or its worker may have restarted, or
// has a task whose start or stop its worker has not confirmed yet.
func (m *machine) needsDelivery() bool {
	if !m.accounted && !m.draining || m.delivery.restartSuspected {
		return true
	}
	for _, t := range m.tasks {
		if t.held {
			continue
		}
		if t.state < taskReported || t.stopping && !t.exited() && t.phase != wire.TaskCheckpointing {
			return true
		}
	}
	return false
}

// PendingDeliveries lists the machines to deliver commands to, or to probe, now. A machine that is lost, has no address
// or needs no delivery is dropped from the candidates until one of its tasks or its worker's state changes.
func (s *State) PendingDeliveries(now clock.Micros) []string {
	var out []string
	for id, m := range s.deliveryCandidates {
		if !m.delivery.ready(now) {
			continue
		}
		if m.worker.lost() || m.Addr == "" || !m.needsDelivery() {
			delete(s.deliveryCandidates, id)
			continue
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// NextDelivery returns the commands to deliver to a worker's own address now, or nil. A machine that is not accounted
// for gets an empty delivery, which brings it a token of this term, and so does one whose worker may have restarted. Until the
// response arrives, run commands of the delivery count as possibly still on their way.
func (s *State) NextDelivery(id string, now clock.Micros) (addr string, orders *wire.Orders) {
	m := s.machines[id]
	if m == nil || !m.delivery.ready(now) || m.worker.lost() || m.Addr == "" {
		return "", nil
	}
	orders = &wire.Orders{FencingToken: m.delivery.token, Incarnation: m.worker.incarnation, Orders: []wire.Order{}}
	if m.accounted {
		orders.Orders, _ = s.dueCommands(m, true, viaDelivery, now)
		m.markRunsUnanswered(orders)
	}
	if len(orders.Orders) == 0 && !m.startProbe(now) {
		return "", nil
	}
	m.delivery.restartSuspected = false
	m.delivery.inFlight, m.delivery.sentTick = true, m.worker.tick
	return m.Addr, orders
}

// startProbe reports whether an empty delivery is due, and records that it is sent.
func (m *machine) startProbe(now clock.Micros) bool {
	if m.accounted && !m.delivery.restartSuspected || now < m.delivery.probedAt+probeInterval {
		return false
	}
	m.delivery.probedAt = now
	return true
}

// markRunsUnanswered records in the tasks of a delivery's run commands that the delivery is unanswered, so that the
// commands may still arrive.
func (m *machine) markRunsUnanswered(orders *wire.Orders) {
	for _, c := range orders.Orders {
		if c.Verb != wire.VerbRun {
			continue
		}
		t := m.taskOf(c)
		t.deliveredToken, t.unanswered = orders.FencingToken, true
	}
}

// taskOf returns the task that a command is for, or nil if it is not known any more.
func (m *machine) taskOf(c wire.Order) *task {
	id, _ := attemptID(c.Task, c.Attempt)
	return m.tasks[id]
}

// HandleDeliveryResponse processes the response to a delivery: the worker's status after it executed or rejected the
// commands.
func (s *State) HandleDeliveryResponse(id string, sent *wire.Orders, hb *wire.Heartbeat, now clock.Micros) {
	m := s.machines[id]
	if m == nil || !m.delivery.inFlight || sent.FencingToken>>termShift != s.terms[m.partition] {
		return
	}
	m.delivery.inFlight = false
	for _, t := range m.tasks {
		if t.deliveredToken == sent.FencingToken {
			t.unanswered = false
		}
	}
	if hb.Machine != id {
		m.delivery.pausedUntil = now + wrongMachinePause
		s.counters.deliveries[deliveryOtherMachine].Inc()
		return
	}
	if m.worker.contacted && hb.Incarnation == m.worker.incarnation && hb.Tick <= m.delivery.sentTick {
		s.handleUnannouncedRestart(m, hb, now)
		s.counters.deliveries[deliveryRestarted].Inc()
		return
	}
	outcome := deliveryAnswered
	if isRejected(sent, hb) {
		outcome = deliveryRejected
	}
	s.counters.deliveries[outcome].Inc()
	if !m.worker.contacted {
		if m.worker.incarnation != hb.Incarnation {
			m.worker.incarnation, m.delivery.probedAt = hb.Incarnation, 0 // probe again at once, addressed to the incarnation that answered
		}
		if hb.FencingToken < firstToken(s.terms[m.partition]) {
			return
		}
	}
	s.applyHeartbeat(m, hb, viaDelivery, now)
	if outcome == deliveryRejected {
		s.handleRejection(m, sent, hb)
	}
}

// handleRejection makes the commands of a rejected delivery due again. If they were rejected because this leader has raised the
// token while they were on their way, they are delivered at once.
func (s *State) handleRejection(m *machine, sent *wire.Orders, hb *wire.Heartbeat) {
	s.counters.countRejected(sent.Orders)
	if hb.Incarnation != sent.Incarnation || hb.FencingToken > m.delivery.token {
		return
	}
	for _, c := range sent.Orders {
		if t := m.taskOf(c); t != nil {
			t.deliveredAt = 0
		}
	}
}

// isRejected reports whether the response to a delivery says that the worker has executed nothing. It has seen a higher
// token than that of the delivery then, or is in another incarnation.
func isRejected(sent *wire.Orders, hb *wire.Heartbeat) bool {
	return hb.FencingToken != sent.FencingToken || hb.Incarnation != sent.Incarnation
}

// HandleDeliveryTimeout records that a delivery was not answered. The worker may still execute its commands until it
// reports a higher token. The heartbeats of a machine may arrive while no response and no delivery reaches it, so the
// machine gets no more tasks until it reports the incremented token.
func (s *State) HandleDeliveryTimeout(id string, sent *wire.Orders, now clock.Micros) {
	m := s.machines[id]
	if m == nil || sent.FencingToken>>termShift != s.terms[m.partition] {
		return
	}
	m.delivery.inFlight = false
	m.delivery.token++
	m.delivery.pausedUntil = now + timeoutPause
	m.delivery.confirmToken = m.delivery.token
	s.counters.deliveries[deliveryUnanswered].Inc()
	s.counters.tokenRaises[raiseUnanswered].Inc()
	s.markChanged(m)
}
