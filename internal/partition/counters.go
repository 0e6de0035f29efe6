package partition

import (
	"fmt"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/telemetry"
	"github.com/merlinlatch/merlinlatch/wire"
)

// heartbeatOutcome says whether a heartbeat is answered with 200, which extends the worker's lease, and why.
type heartbeatOutcome int

const (
	// Answered with 200:
	outcomeAnswered    heartbeatOutcome = iota // the machine is accounted for
	outcomeUnaccounted                         // the machine is not accounted for yet
	outcomeOvertaken                           // the response to a delivery has arrived before the heartbeat
	// Rejected:
	outcomeOtherPartition    // it names a zone of another partition than the one that the machine is known in
	outcomeGone              // the machine is gone for certain
	outcomeFormerIncarnation // its tasks already count as gone
	outcomeLaterTerm         // the worker has seen a later term: another process has acquired the partition since
	outcomeCopy              // it is not newer than one that was already processed
	outcomeStopsPending      // an answer can't hold the stop commands for all tasks of ended jobs; they are delivered
	heartbeatOutcomeCount
)

var heartbeatOutcomeNames = [heartbeatOutcomeCount]string{
	"answered", "unaccounted", "overtaken", "other_partition", "gone", "former_incarnation", "later_term", "copy", "stops_pending",
}

// extendsLease reports whether a heartbeat with this outcome is answered with 200.
func (o heartbeatOutcome) extendsLease() bool { return o <= outcomeOvertaken }

// stopReason says why a task is to stop.
type stopReason int

const (
	stopRequested stopReason = iota // a scheduler stops or preempts it
	stopCancelled                   // a scheduler has cancelled its job
	stopEnded                       // the replica shows that its job has ended
	stopReasonCount
)

var stopReasonNames = [stopReasonCount]string{"requested", "cancelled", "ended"}

// deliveryOutcome says what became of a delivery to a worker's own address.
type deliveryOutcome int

const (
	deliveryAnswered deliveryOutcome = iota
	deliveryUnanswered
	deliveryRejected     // nothing executed: the worker has seen a higher token, or is in another incarnation
	deliveryOtherMachine // another machine has the address
	deliveryRestarted    // the worker has restarted without a new incarnation
	deliveryOutcomeCount
)

var deliveryOutcomeNames = [deliveryOutcomeCount]string{"answered", "unanswered", "rejected", "other_machine", "restarted"}

// raiseReason says why the fencing token of a machine was raised within a term.
type raiseReason int

const (
	raiseUnanswered raiseReason = iota // a delivery was not answered
	raiseForget                        // an attempt is forgotten whose run command was delivered under the present token
	raiseReasonCount
)

var raiseReasonNames = [raiseReasonCount]string{"unanswered", "forget"}

// findState says what was known of the machine on which an attempt was found that this leader has not assigned.
type findState int

const (
	foundUnaccounted findState = iota // the machine was not accounted for: a former leader has started the attempt
	foundAccounted                    // the machine was accounted for: no command for the attempt should have been executed
	findStateCount
)

var findStateNames = [findStateCount]string{"unaccounted", "accounted"}

var (
	routeNames   = [...]string{viaHeartbeat: "heartbeat", viaDelivery: "delivery"}
	commandVerbs = [...]string{wire.VerbRun, wire.VerbStop, wire.VerbForget}
)

// counters counts a State's decisions with their reasons. The zero value counts nothing.
type counters struct {
	heartbeats [heartbeatOutcomeCount]*telemetry.Counter
	stops      [stopReasonCount]*telemetry.Counter
	deliveries [deliveryOutcomeCount]*telemetry.Counter
	found      [findStateCount]*telemetry.Counter
	// tokenRaises counts the changes of fencing tokens, and rejected the commands that workers have answered with 409.
	tokenRaises [raiseReasonCount]*telemetry.Counter
	rejected    [len(commandVerbs)]*telemetry.Counter
	commands    [len(routeNames)][len(commandVerbs)]*telemetry.Counter
	// leaseToStart is the time from an accepted lease, or the start of a held one, until the worker lists the attempt.
	leaseToStart *telemetry.Summary
}

func newCounters(reporter *telemetry.Reporter) counters {
	var c counters
	addCounters(reporter, "merlinlatch_heartbeats_total", "outcome", heartbeatOutcomeNames[:], c.heartbeats[:])
	addCounters(reporter, "merlinlatch_task_stops_total", "reason", stopReasonNames[:], c.stops[:])
	addCounters(reporter, "merlinlatch_deliveries_total", "outcome", deliveryOutcomeNames[:], c.deliveries[:])
	addCounters(reporter, "merlinlatch_found_attempts_total", "machine", findStateNames[:], c.found[:])
	addCounters(reporter, "merlinlatch_fencing_token_raises_total", "reason", raiseReasonNames[:], c.tokenRaises[:])
	addCounters(reporter, "merlinlatch_rejected_commands_total", "verb", commandVerbs[:], c.rejected[:])
	c.leaseToStart = reporter.Summary("merlinlatch_lease_to_start_seconds")
	for via, route := range routeNames {
		for i, verb := range commandVerbs {
			c.commands[via][i] = reporter.Counter(fmt.Sprintf(`merlinlatch_worker_commands_total{via=%q,verb=%q}`, route, verb))
		}
	}
	return c
}

// addCounters adds a counter of a metric for each value of a label.
func addCounters(reporter *telemetry.Reporter, metric, label string, values []string, counters []*telemetry.Counter) {
	for i, value := range values {
		counters[i] = reporter.Counter(fmt.Sprintf("%s{%s=%q}", metric, label, value))
	}
}

// countCommands counts the commands of one message to a worker.
func (c *counters) countCommands(via route, list []wire.Order) { countVerbs(c.commands[via], list) }

// countRejected counts the commands of a delivery that a worker has rejected.
func (c *counters) countRejected(list []wire.Order) { countVerbs(c.rejected, list) }

// countVerbs counts commands by their verbs, in the order of commandVerbs.
func countVerbs(counters [len(commandVerbs)]*telemetry.Counter, list []wire.Order) {
	for i := range list {
		if v := slices.Index(commandVerbs[:], list[i].Verb); v >= 0 {
			counters[v].Inc()
		}
	}
}

// addMachineGauges adds the numbers of machines by what is known of them.
func (s *Server) addMachineGauges(reporter *telemetry.Reporter) {
	gauge := func(state string, in func(*machine) bool) {
		reporter.Gauge(fmt.Sprintf(`merlinlatch_machines{state=%q}`, state), func() float64 { return float64(s.countMachines(in)) })
	}
	gauge("unaccounted", func(m *machine) bool { return !m.accounted && !m.worker.lost() })
	gauge("overdue", func(m *machine) bool { return m.worker.overdue && !m.worker.lost() })
	gauge("lost", func(m *machine) bool { return m.worker.lost() })
	gauge("usable", func(m *machine) bool { return m.usable(s.clock.Now()) })
}

func (s *Server) countMachines(in func(*machine) bool) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.state.machines {
		if in(m) {
			n++
		}
	}
	return n
}
