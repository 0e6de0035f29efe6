package peer

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Demand describes waiting tasks of one job, for the autoscaler.
type Demand struct {
	Need    resources.Amounts // resource request of one task
	Types   []string          // allowed machine types; empty: any
	Zone    string            // the only allowed zone; "": any
	Spot    bool              // spot instances are allowed
	Rank    int               // priority level of the job
	Waiting int               // number of tasks that wait and fit below the team's limit
	RunFor  clock.Micros      // the user's estimate of one task's run time
	Stage   int               // the recovery.Stage that admits the tasks when a zone returns, plus one; 0: not named
	Slack   clock.Micros      // how long the tasks may still wait; 0: the job is late, or no time is set for it
}

// WaitingByStage returns how many tasks wait for each stage of a zone's return, the stage being the one that
// admits them. Demands that name no stage are left out.
func WaitingByStage(demands []Demand) map[recovery.Stage]int {
	waiting := map[recovery.Stage]int{}
	for i := range demands {
		if d := &demands[i]; d.Stage > 0 {
			waiting[recovery.Stage(d.Stage-1)] += d.Waiting
		}
	}
	return waiting
}

// DemandResponse lists the waiting tasks of the teams that a scheduler leads, as far as they fit below the teams' limits.
// Of a job whose tasks have failed on many machines in a row it has a single task, and only at times.
type DemandResponse struct{ Demands []Demand }

// MachineRef identifies a machine. The zone is included because the partition of a machine is computed from
// its id and its zone.
type MachineRef struct{ ID, Zone string }

// DrainRequest asks a partition leader to drain machines that are to be scaled in. It drains a machine, which then
// gets no more tasks, only if no task can be on it: the machine is silent, or it has neither attempts nor leases and
// no former leader can have left any there. All other machines stay as they are.
type DrainRequest struct{ Machines []MachineRef }

// DrainResponse lists the ids of the drained machines, which can be returned to the cloud.
type DrainResponse struct{ Ready []string }

// MachinesGone tells a partition leader on which machines certainly nothing runs any more: they are gone, returned or
// failed. It need not wait for their worker leases to expire.
type MachinesGone struct{ Machines []MachineRef }
