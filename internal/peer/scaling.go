package peer

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Demand is tasks of one shape that wait or run, as the autoscaler needs to know them.
type Demand struct {
	Need    resources.Amounts // of one task
	Types   []string          // machine types that are allowed; none: any
	Zone    string            // the only one allowed; "": any
	Spot    bool              // spot instances are allowed
	Rank    int               // priority level
	Waiting int               // tasks
	RunFor  clock.Micros      // the user's runtime estimate of one task
	Stage   int               // one more than the stage of a zone's return that admits it; 0: none is named
	Slack   clock.Micros      // how much later it may start; 0 when it is late or has no deadline
}

// WaitingByStage sums the waiting tasks by the stage of a zone's return that admits them. Demand that
// names none is left out.
func WaitingByStage(demands []Demand) map[recovery.Stage]int {
	waiting := map[recovery.Stage]int{}
	for i := range demands {
		if d := &demands[i]; d.Stage > 0 {
			waiting[recovery.Stage(d.Stage-1)] += d.Waiting
		}
	}
	return waiting
}

// DemandResponse gives the autoscaler the demand of the teams that a scheduler leads.
type DemandResponse struct{ Demands []Demand }

// MachineRef names a machine with its zone, which decides on its partition together with the id.
type MachineRef struct{ ID, Zone string }

// DrainRequest asks a partition leader to give machines no tasks, for their scale-in.
type DrainRequest struct{ Machines []MachineRef }

// DrainResponse names the machines that hold neither task nor lease and get none any more.
type DrainResponse struct{ Ready []string }

// MachinesGone names machines to a partition leader that are gone for certain.
type MachinesGone struct{ Machines []MachineRef }
