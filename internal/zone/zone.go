// Package zone decides the states of zones. It does no I/O and takes the time as a parameter. The fleet's leader
// (package autoscaler) passes the evidence on the machines of all controllers to a Decider, and writes the Records
// that change to the key-value store, on the condition of its leadership. All other controllers follow the records.
//
//	          most machines missing        still missing
//	          for SuspectAfter             after LostAfter
//	Healthy ----------------------> Suspect -------------> Lost <-----------------+
//	 ^   ^                             |                    |                     |
//	 |   +-----------------------------+                    | half reachable for  | most machines
//	 |            half reachable                            | ReturnDelay, which  | missing again:
//	 |                                                      | doubles with each   | Flaps is
//	 |                                                      v flap                | incremented
//	 +-------------------------------------------------- Returning ---------------+
//	                all stages of package recovery passed: Flaps is reset to 0
//
// A zone whose machines are missing becomes suspect or lost only while at least half the machines of some other zone are
// reachable. If that is so in no zone, it is the deciding controller that is cut off. For the same reason a zone
// that is the only one is never lost.
//
// Invariant: a state never says that a task is gone, since a lost zone may just be cut off while its controllers and
// workers go on. If it did, tasks would be started twice. What proves that a task is gone is explained in
// docs/design.md, "Why the rules hold", number 4. A state decides only where instances are requested, and which work is
// admitted to a zone that is reachable again.
package zone

import (
	"fmt"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

// State is the state of a zone.
type State string

// States of a zone.
const (
	Healthy   State = "healthy"
	Suspect   State = "suspect"   // most machines have been missing for a short time: no instances are requested there
	Lost      State = "lost"      // most machines have been missing for longer: no instances are requested there
	Returning State = "returning" // the machines are reachable again, and work is admitted in stages
)

// Record is the state of a zone as the key-value store has it.
type Record struct {
	State State          `json:"state"`
	Stage recovery.Stage `json:"stage,omitempty"` // stage of the return, while State is Returning
	Held  bool           `json:"held,omitempty"`  // operators hold the return at its stage
	Flaps int            `json:"flaps,omitempty"` // number of returns that ended in another loss, since the zone was healthy
	AtMS  int64          `json:"at_ms"`           // wall clock time of the change, in Unix milliseconds
	Why   string         `json:"why"`             // the evidence for the change, as text
}

// minMachines is the number of machines that a zone must have to become suspect. One or two machines may fail
// independently of their zone.
const minMachines = 3

// Evidence counts the machines of a zone by what is known of them.
type Evidence struct {
	Machines    int // all known machines of the zone
	Missing     int // missing machines: heartbeats are overdue, or the partition leader can't be reached; see Scheduler.ZoneEvidence
	Unaccounted int // reachable machines whose partition leader has not accounted for their tasks yet
}

// String returns the evidence as it is shown in records and logs.
func (e Evidence) String() string {
	return fmt.Sprintf("%d of %d machines not heard", e.Missing, e.Machines)
}

// mostMissing reports whether at least two thirds of the machines are missing. With so many, the zone is assumed to
// have failed, and not the machines one by one.
func (e Evidence) mostMissing() bool {
	return e.Machines >= minMachines && 3*e.Missing >= 2*e.Machines
}

// atLeastHalfReachable reports whether at least half of the zone's machines are reachable. It is false without machines.
func (e Evidence) atLeastHalfReachable() bool { return e.Machines >= 1 && 2*e.Missing <= e.Machines }

// Settings are the durations after which a Decider changes a zone's state.
type Settings struct {
	SuspectAfter   clock.Micros // how long most machines must be missing before a healthy zone is suspect
	LostAfter      clock.Micros // how long most machines must be missing before a suspect zone is lost
	ReturnDelay    clock.Micros // how long half the machines must be reachable before a lost zone returns; doubles with each flap
	MaxReturnDelay clock.Micros // upper bound on the doubled ReturnDelay
}
