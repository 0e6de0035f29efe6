package fairshare

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Shape is a group of waiting tasks of a team with the same requirements and constraints. It is part of Demand: its
// fields are wire format.
type Shape struct {
	Need  resources.Amounts // of each task
	Types []string          // allowed machine types; none: any
	Zone  string            // the only allowed zone; "": any
	Spot  bool              // the tasks may run on spot instances
	Rank  int               // priority level
	Owed  bool              // the team's guarantee covers the tasks
	Tasks int               // number of tasks
}

// Demand is the waiting work of a team, as the team's scheduler sees it. Schedulers send it with each poll, also when no
// task waits, since otherwise a partition leader would count the former demand until that is too old. The fields are
// wire format.
type Demand struct {
	Team   string
	Term   uint64 // of the team's leadership: demand of an earlier term does not replace that of a later one
	Shapes []Shape
}

// FreeCapacity is the free capacity of one machine.
type FreeCapacity struct {
	Machine string
	Type    string
	Zone    string
	Spot    bool
	Free    resources.Amounts
}

// fitsOn reports whether a task of the shape could start on the machine now.
func (s *Shape) fitsOn(machine *FreeCapacity) bool {
	return s.Tasks > 0 && s.Need.Fits(machine.Free) && (!machine.Spot || s.Spot) && (s.Zone == "" || s.Zone == machine.Zone) &&
		(len(s.Types) == 0 || slices.Contains(s.Types, machine.Type))
}

// Assignment is a task for which a scheduler requests a resource lease.
type Assignment struct {
	Team            string
	Rank            int
	Need            resources.Amounts
	WithinGuarantee bool // the team's guarantee covers the task
}

// Use is what a team's tasks take on the machines of a partition leader, and the part of it that the team's guarantee
// covers.
type Use struct {
	All             resources.Amounts
	WithinGuarantee resources.Amounts
}

// Standing is a team's share, use and demand at one partition leader. The fields are wire format.
type Standing struct {
	Team    string
	Weight  float64
	Share   float64           // fraction of the leader's capacity, in the team's dominant resource
	Taken   float64           // fraction that its tasks take, in the dominant resource of what they take
	Waiting resources.Amounts // requested by its waiting tasks: its scheduler's latest demand less the leases granted since
}
