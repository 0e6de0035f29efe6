// Package zone decides in which state zones are. It is plain code that takes the time and does no I/O:
// the fleet's leader (package autoscaler) has a Decider, feeds it the evidence of all controllers'
// machines, and writes the Records that it gives, on the condition of its leadership. All others
// follow the records.
//
//	          most machines missing        still missing
//	          for SuspectAfter             after LostAfter
//	Healthy ----------------------> Suspect -------------> Lost <-----------------+
//	 ^   ^                             |                    |                     |
//	 |   +-----------------------------+                    | half reachable for  | most machines
//	 |            half reachable                            | ReturnAfter, twice  | missing again:
//	 |                                                      | as long each flap   | one flap more
//	 |                                                      v                     |
//	 +-------------------------------------------------- Returning ---------------+
//	                all stages of package recovery passed: no flaps any more
//
// Machines count as missing only while those of another zone are reachable: where nobody is, it is
// the controller that decides which is cut off. The only zone is never lost by itself.
//
// Invariant: a zone that is lost may only be cut off, and inside it controllers and workers go on. So a
// state never says that a task is gone (docs/design.md, "Why the rules hold", 4, says what does); it only
// decides where instances are requested, and what is admitted when a zone is back.
package zone

import (
	"fmt"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

// State of a zone.
type State string

// States.
const (
	Healthy   State = "healthy"
	Suspect   State = "suspect"   // most of its machines are missing; they may be reachable again soon
	Lost      State = "lost"      // for longer: no instances are requested there
	Returning State = "returning" // it is reachable again; work is admitted in stages
)

// Record is the state of a zone as it is written to the key-value store.
type Record struct {
	State State          `json:"state"`
	Stage recovery.Stage `json:"stage,omitempty"` // of a return
	Held  bool           `json:"held,omitempty"`  // operators stopped the return at its stage
	Flaps int            `json:"flaps,omitempty"` // how often it was lost again while it returned
	AtMS  int64          `json:"at_ms"`           // time of day of the change
	Why   string         `json:"why"`             // the evidence
}

// minMachines is how many machines a zone must have to be suspected: one or two may fail by themselves.
const minMachines = 3

// Evidence is what is known of a zone's machines.
type Evidence struct {
	Machines         int // that are known
	MissedHeartbeats int // missing: whose heartbeats are overdue, or whose partition leader can't be reached
	Unaccounted      int // reachable, and not accounted for by their partition leader yet
}

// String is the evidence for records and logs.
func (e Evidence) String() string {
	return fmt.Sprintf("%d of %d machines not heard", e.MissedHeartbeats, e.Machines)
}

// mostMissing reports whether so many machines are missing, two thirds, that it is the zone and not they.
func (e Evidence) mostMissing() bool {
	return e.Machines >= minMachines && 3*e.MissedHeartbeats >= 2*e.Machines
}

// halfReachable reports whether at least half of the machines are reachable.
func (e Evidence) halfReachable() bool { return e.Machines >= 1 && 2*e.MissedHeartbeats <= e.Machines }

// Settings of a decider.
type Settings struct {
	SuspectAfter clock.Micros // most machines are missing for so long
	LostAfter    clock.Micros
	ReturnAfter  clock.Micros // machines are reachable again for so long; doubled with every flap
	ReturnMost   clock.Micros // the longest that it becomes
}
