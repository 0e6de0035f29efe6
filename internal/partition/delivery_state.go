package partition

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// termShift is where the partition's term begins in a fencing token; below it is the sequence.
const termShift = 32

// firstToken is the lowest fencing token of a term.
func firstToken(term uint64) uint64 { return term << termShift }

// How long deliveries to a machine pause. Commands go with the answers to its heartbeats meanwhile, and the
// next heartbeat that says something new ends the pause.
const (
	probeInterval      = 500 * clock.Millisecond // between empty deliveries to an unaccounted machine
	timeoutPause       = 2 * clock.Second        // after a delivery without an answer
	wrongMachinePause  = 5 * clock.Second        // after an answer of another machine: the address is wrong
	restartPauseMargin = clock.Second            // beyond the worker lease of a worker that began anew unannounced
)

// deliveryState is the fencing and delivery of commands to one machine's worker.
//
// A fencing token is (partition term, sequence). Workers reject commands under lower tokens than the highest they have
// seen. Each delivery that had no answer raises the sequence: it may still be executed until the worker shows a
// higher token (docs/design.md, arguments 1 and 2).
type deliveryState struct {
	token       uint64       // what commands are sent with
	shownToken  uint64       // the highest that the worker showed
	inFlight    bool         // a delivery is on its way: there is one at most
	sentTick    uint64       // the worker's tick when it was sent
	pausedUntil clock.Micros // no delivery before
	probedAt    clock.Micros // the last empty delivery, while the machine is unaccounted
	unconfirmed bool         // a delivery had no answer, and no heartbeat has shown the raised token since
}

// ready reports whether a delivery may be sent now, as far as earlier ones are concerned.
func (d *deliveryState) ready(now clock.Micros) bool { return !d.inFlight && now >= d.pausedUntil }

// runMayArrive reports whether a run command for a task may still be on its way in an unanswered delivery.
func (d *deliveryState) runMayArrive(t *task) bool {
	return t.unansweredToken != 0 && d.shownToken <= t.unansweredToken
}

// needsDelivery reports whether a machine is to be probed, or has a task whose start or stop its worker has not
// shown yet.
func (m *machine) needsDelivery() bool {
	if !m.accounted && !m.draining {
		return true
	}
	for _, t := range m.tasks {
		if t.reserved {
			continue
		}
		if t.state < taskReported || t.stopping && !t.exited() && t.phase != wire.TaskCheckpointing {
			return true
		}
	}
	return false
}

// PendingDeliveries lists machines that should be delivered to now, or probed. Those that need no delivery any more
// are looked at again when something about them changes.
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

// NextDelivery returns what to deliver to a worker's own address now, nil for nothing. A machine that is not accounted
// gets an empty delivery, which shows it this term's token. Until it is answered, its runs count as possibly still on
// their way.
func (s *State) NextDelivery(id string, now clock.Micros) (addr string, o *wire.Orders) {
	m := s.machines[id]
	if m == nil || !m.delivery.ready(now) || m.worker.lost() || m.Addr == "" {
		return "", nil
	}
	o = &wire.Orders{FencingToken: m.delivery.token, Incarnation: m.worker.incarnation, Orders: []wire.Order{}}
	if m.accounted {
		o.Orders = s.dueCommands(m, viaDelivery, now)
		if len(o.Orders) == 0 {
			return "", nil
		}
		m.markRunsUnanswered(o)
	} else {
		if now < m.delivery.probedAt+probeInterval {
			return "", nil
		}
		m.delivery.probedAt = now
	}
	m.delivery.inFlight, m.delivery.sentTick = true, m.worker.tick
	return m.Addr, o
}

// markRunsUnanswered notes that a delivery's runs may arrive as long as it is unanswered.
func (m *machine) markRunsUnanswered(o *wire.Orders) {
	for _, c := range o.Orders {
		if c.Verb != wire.VerbRun {
			continue
		}
		job, n, _ := wire.SplitTask(c.Task)
		m.tasks[peer.TaskID{Job: job, N: n, Attempt: c.Attempt}].unansweredToken = o.FencingToken
	}
}

// HandleDeliveryResponse takes the answer to a delivery: the worker's status after it.
func (s *State) HandleDeliveryResponse(id string, sent *wire.Orders, r *wire.Heartbeat, now clock.Micros) {
	m := s.machines[id]
	if m == nil || !m.delivery.inFlight || sent.FencingToken>>termShift != s.terms[m.partition] {
		return
	}
	m.delivery.inFlight = false
	for _, t := range m.tasks {
		if t.unansweredToken == sent.FencingToken {
			t.unansweredToken = 0
		}
	}
	if r.Machine != id {
		m.delivery.pausedUntil = now + wrongMachinePause
		return
	}
	if m.worker.contacted && r.Incarnation == m.worker.incarnation && r.Tick <= m.delivery.sentTick {
		s.handleUnannouncedRestart(m, now)
		return
	}
	if !m.worker.contacted {
		if m.worker.incarnation != r.Incarnation {
			m.worker.incarnation, m.delivery.probedAt = r.Incarnation, 0 // the next delivery names the right one
		}
		if r.FencingToken < firstToken(s.terms[m.partition]) {
			return
		}
	}
	s.applyHeartbeat(m, r, viaDelivery, now)
}

// handleUnannouncedRestart takes an answer that is no copy, and yet its tick is none that can follow those seen: the
// worker has begun anew without a new incarnation. What was just delivered may run there, for a worker lease from now
// at most, since its heartbeats are taken for copies and not answered. Nothing more is delivered to it.
func (s *State) handleUnannouncedRestart(m *machine, now clock.Micros) {
	m.worker.answeredAt, m.delivery.unconfirmed = now, true
	m.delivery.pausedUntil = now + s.timing.Lease.PlusDrift() + restartPauseMargin
	s.markChanged(m)
}

// HandleDeliveryTimeout notes that a delivery had no answer: it may still be executed, until the worker shows a
// higher token. Heartbeats may come from a machine that no answer and no delivery reaches, so it gets no more tasks
// until it shows the raised token.
func (s *State) HandleDeliveryTimeout(id string, sent *wire.Orders, now clock.Micros) {
	m := s.machines[id]
	if m == nil || sent.FencingToken>>termShift != s.terms[m.partition] {
		return
	}
	m.delivery.inFlight = false
	m.delivery.token++
	m.delivery.pausedUntil = now + timeoutPause
	m.delivery.unconfirmed = true
	s.markChanged(m)
}
